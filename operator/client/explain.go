package client

import (
	"io"
	"os"

	"github.com/cactusproxy/cactusproxy/explain"
)

// explain shows what logs tell of a request.
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
	story, err := explain.Find(a.ID, logs...)
	if err != nil {
		return c.fail(err)
	}
	if err := story.Write(c.out); err != nil {
		return c.fail(err)
	}
	return ExitDone
}
