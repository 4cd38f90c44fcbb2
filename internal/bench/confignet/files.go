package confignet

import (
	"fmt"
	"strings"

	"github.com/cactusproxy/cactusproxy/controller/config"
)

// servicesPerWorkspace is the number of services in the template.
const servicesPerWorkspace = 5

// Template returns a template with five services and the parameters maxInFlight
// and hostNames.
func Template() *config.File {
	var services strings.Builder
	for i := range servicesPerWorkspace {
		fmt.Fprintf(&services, `"s%d": {"pathPrefix": "/s%d", "atMostOnce": ["POST /s%d/orders"]},`, i, i, i)
	}
	return &config.File{Name: "template.jsonc", Text: `{
  "template": "bench", "version": 1,
  "parameters": {
    "maxInFlight": {"type": "int", "min": 1, "max": 100000},
    "hostNames": {"type": "strings", "min": 0, "max": 4, "default": []},
  },
  "workspace": {
    "hostNames": "$hostNames",
    "maxInFlight": "$maxInFlight", "probeBudget": "12ms", "retryRatio": 0.1, "hedgeRatio": 0.02,
    "serviceDefaults": {
      "slots": 2, "maxConns": 200, "maxQueue": 100, "timeout": "5s", "maxAttempts": 3,
      "maxReplayBody": "64KiB", "maxBody": "1MiB", "coldStart": "5s", "healthPath": "/healthz",
    },
    "services": {` + services.String() + `},
  },
}`}
}

// Workspace returns a workspace file that uses Template.
func Workspace(name string, maxInFlight int, hostNames ...string) config.File {
	names := ""
	if len(hostNames) > 0 {
		names = fmt.Sprintf(`, "hostNames": ["%s"]`, strings.Join(hostNames, `", "`))
	}
	return config.File{Name: name + ".jsonc", Text: fmt.Sprintf(
		`{"workspace": %q, "template": "bench", "templateVersion": 1, "parameters": {"maxInFlight": %d%s}}`,
		name, maxInFlight, names)}
}

// Change returns a request to apply the file returned by Workspace, together with
// its template.
func Change(id, who, name string, base uint64, maxInFlight int) config.ApplyRequest {
	return config.ApplyRequest{
		Request:   config.Request{ID: id, Operator: who, Base: base},
		Workspace: Workspace(name, maxInFlight),
		Template:  Template(),
	}
}
