package explain

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const hostA = `ts=2026-03-03T10:00:00.000Z level=info msg="target leaving" host=a target=t1 service=bids from=10.0.0.2:1
ts=2026-03-03T10:00:01.500Z level=info msg=call host=a request=r7 outcome=unknown reason=target-broke-off status=502 service=bids took=300ms attempts="t1:target-broke-off took=290ms ran=maybe cost=1.00 age=2ms probed=3 waited=4ms"
ts=2026-03-03T10:00:01.600Z level=info msg=call host=a request=r8 outcome=answered reason=ok status=200 service=bids took=30ms
not a line of ours
`

const hostB = `  31.2 b ts=2026-03-03T10:00:01.400Z level=warn msg="request suspected of crashing a target" host=b digest=1 target=t1
ts=2026-03-03T10:00:01.450Z level=info msg="target gone" host=b target=t2
ts=2026-03-03T09:00:00.000Z level=info msg="target listed" host=b target=t1
`

func TestTimelineAcrossHosts(t *testing.T) {
	s, err := Find("r7", strings.NewReader(hostA), strings.NewReader(hostB))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, s.Write(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3, out.String())
	assert.Check(t, strings.Contains(lines[0], "target leaving"))
	assert.Check(t, strings.Contains(lines[1], "suspected"))
	assert.Check(t, strings.HasPrefix(lines[2], "> ts=") && strings.Contains(lines[2], "r7"))
}

func TestRequestWithoutALine(t *testing.T) {
	_, err := Find("r9", strings.NewReader(hostA))
	assert.Check(t, errors.Is(err, ErrNotFound))
}
