package connlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cactusproxy/cactusproxy/policy/connlimit"
)

func TestVictim(t *testing.T) {
	now := time.Unix(1_000, 0)
	conn := func(w connlimit.Wait, waited time.Duration) connlimit.Conn {
		return connlimit.Conn{Wait: w, Since: now.Add(-waited)}
	}
	served := conn(connlimit.Nothing, time.Hour)
	for name, c := range map[string]struct {
		conns []connlimit.Conn
		want  int
	}{
		"none":                             {nil, -1},
		"all serve a request":              {[]connlimit.Conn{served, served}, -1},
		"stalled before idle":              {[]connlimit.Conn{conn(connlimit.NextRequest, time.Minute), conn(connlimit.RestOfRequest, 2*time.Second)}, 1},
		"idle before a short pause":        {[]connlimit.Conn{conn(connlimit.RestOfRequest, 900*time.Millisecond), conn(connlimit.NextRequest, time.Millisecond)}, 1},
		"a short pause before none":        {[]connlimit.Conn{served, conn(connlimit.Reader, time.Millisecond)}, 1},
		"of the stalled the longest":       {[]connlimit.Conn{conn(connlimit.Reader, 2*time.Second), conn(connlimit.RestOfRequest, 3*time.Second)}, 1},
		"of the idle the longest":          {[]connlimit.Conn{conn(connlimit.NextRequest, time.Second), conn(connlimit.NextRequest, 5*time.Second), served}, 1},
		"a client that doesn't read":       {[]connlimit.Conn{conn(connlimit.NextRequest, time.Hour), conn(connlimit.Reader, time.Second)}, 1},
		"served however long it has taken": {[]connlimit.Conn{served, conn(connlimit.NextRequest, 0)}, 1},
	} {
		assert.Check(t, connlimit.Victim(now, c.conns) == c.want, name)
	}
}
