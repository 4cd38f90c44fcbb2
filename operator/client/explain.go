package client

import (
	"io"
	"os"

	"github.com/cactusproxy/cactusproxy/explain"
)

// explain prints what the log files say about a request.
func (c *command) explain(a *explainArgs) int {
	logs := make([]io.Reader, 0, len(a.Files))
	for _, name := range a.Files {
		f, err := os.Open(name)
		if err != nil {
			return c.fail(err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	report, err := explain.Find(a.ID, logs...)
	if err != nil {
		return c.fail(err)
	}
	if err := report.Write(c.out); err != nil {
		return c.fail(err)
	}
	return ExitDone
}
