package settings

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSettings = `{
  // identity of this host
  "host": {"id": "entry-1", "zone": "a"},
  "callers": {"addr": "127.0.0.1:8080"},
  "operators": {"addr": "127.0.0.1:8081"},
  "peers": {"addr": "127.0.0.1:8082"},
  "platform": {"url": "http://127.0.0.1:7000", "timeout": "3s"},
}`

func TestParseGoodSettings(t *testing.T) {
	s, err := Parse("good.json", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.Timeout.Or(time.Second), 3*time.Second)
	assert.Equal(t, s.Drain.Limit.Or(time.Minute), time.Minute)
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	for _, tc := range []struct{ name, data, want string }{
		{"syntax", "{\n  \"host\": ,\n}", "x.json:2: "},
		{"unknown field", "{\n  \"host\": {\n    \"nmae\": 1}}", "x.json:3: nmae: unknown field"},
		{"wrong type", "{\n  \"host\": {\n    \"id\": 1}}", "x.json:3: host.id: want string, got number"},
		{"missing", "{\n  \"host\": {}}", "x.json:2: host.id: must be given"},
		{"bad duration", "{\n\"drain\": {\n\"limit\": \"long\"}}", "x.json:3: drain.limit: want a duration"},
		{"name for address", "{\n\"callers\": {\n\"addr\": \"localhost:1\"}}", "x.json:3: callers.addr: want an IP address"},
		{"negative link", "{\n\"directory\": {\"store\": \"10.0.0.1:80\"},\n\"linkMbps\": -1}", "x.json:3: linkMbps: must not be negative"},
		{"negative memory", "{\n\"directory\": {\"store\": \"10.0.0.1:80\"},\n\"memoryMB\": -1}", "x.json:3: memoryMB: must not be negative"},
		{"negative pipeline", "{\n\"callers\": {\n\"pipeline\": {\n\"requestsPerHost\": -1}}}", "x.json:4: callers.pipeline.requestsPerHost: must not be negative"},
		{"open listener", "{\n\"callers\": {\n\"addr\": \"0.0.0.0:1\"}}", "x.json:3: callers.addr: 0.0.0.0:1 is not loopback"},
		{"open operators", "{\n\"operators\": {\n\"addr\": \"0.0.0.0:1\"}}", "x.json:2: operators.tokenFile: must be given"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("x.json", []byte(tc.data))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestPlaintextOutsideLoopbackNeedsTheWords(t *testing.T) {
	data := `{"host": {"id": "a", "zone": "z"}, "callers": {"addr": "10.0.0.1:80"},
	"operators": {"addr": "127.0.0.1:81"}, "peers": {"addr": "10.0.0.1:82"},
	"platform": {"url": "http://10.0.0.9"}, "plaintext": "accept plaintext outside loopback"}`
	_, err := Parse("x.json", []byte(data))
	assert.NilError(t, err)
}

func TestShortKeyIsRefused(t *testing.T) {
	file := t.TempDir() + "/key"
	assert.NilError(t, os.WriteFile(file, []byte("short\n"), 0o600))
	_, err := Key(file)
	assert.ErrorContains(t, err, "need 32")
}
