// Package explain reconstructs from the logs of entry hosts what happened to a request. It
// finds the log lines of the request and, around its time, those about the targets it was
// sent to and the state of the hosts that handled it. It depends on the messages and keys
// that other packages log.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Lines about targets and hosts are included from contextBefore before the request arrived
// until contextAfter after it ended.
const (
	contextBefore = 10 * time.Second
	contextAfter  = time.Second
)

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// Line is a parsed log line.
type Line struct {
	At   time.Time
	Text string
	// Fields holds the key=value pairs of the line.
	Fields map[string]string
}

// Message returns the log message.
func (l Line) Message() string { return l.Fields["msg"] }

// fieldPattern matches key=value or key="quoted value".
var fieldPattern = regexp.MustCompile(`([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)

// timestampPrefix is the start of every log line. A log collector may have put a prefix of
// its own before it.
const timestampPrefix = "ts="

// Parse parses a line. It returns false if the line is not a log line of cactusproxy.
func Parse(text string) (Line, bool) {
	i := strings.Index(text, timestampPrefix)
	if i < 0 {
		return Line{}, false
	}
	l := Line{Text: text[i:], Fields: make(map[string]string)}
	for _, m := range fieldPattern.FindAllStringSubmatch(l.Text, -1) {
		l.Fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["ts"])
	l.At = at
	return l, err == nil
}

// Timeline holds the log lines that concern a request.
type Timeline struct {
	// Calls are the lines of the request itself, one for each host that handled it.
	Calls []Line
	// Context are lines from around the same time about the targets that the request was sent
	// to, and about the hosts that handled it and their configuration.
	Context []Line
}

// ErrNotFound means that no log has a line for the request.
var ErrNotFound = errors.New("no log line for this request: it succeeded and was not sampled, its line was dropped by the rate limit (see call_lines_dropped), or the log of its host is missing")

// Find searches logs for a request.
func Find(id string, logs ...io.Reader) (Timeline, error) {
	var all []Line
	for _, r := range logs {
		lines, err := read(r)
		if err != nil {
			return Timeline{}, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	var tl Timeline
	for _, l := range all {
		if l.Message() == "call" && l.Fields["request"] == id {
			tl.Calls = append(tl.Calls, l)
		}
	}
	if len(tl.Calls) == 0 {
		return tl, ErrNotFound
	}
	for _, l := range all {
		if l.Message() != "call" && tl.relevant(l) {
			tl.Context = append(tl.Context, l)
		}
	}
	return tl, nil
}

func read(r io.Reader) ([]Line, error) {
	var lines []Line
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		if l, ok := Parse(scan.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scan.Err(), "read log")
}

// hostMessages are messages about the state of a whole host. They are relevant if that host
// handled the request.
var hostMessages = []string{
	"listening", "leaving", "left", "configuration in force", "targets read",
	"store lost", "store regained", "watching the store", "no longer watching the store",
	"settings read again",
	"zone evacuated", "evacuation ended", "evacuation kept, no word of the store",
}

// relevant reports whether a line may be related to the request.
func (tl *Timeline) relevant(l Line) bool {
	for _, c := range tl.Calls {
		took, _ := time.ParseDuration(c.Fields["took"])
		arrived := c.At.Add(-took)
		if l.At.Before(arrived.Add(-contextBefore)) || l.At.After(c.At.Add(contextAfter)) {
			continue
		}
		if t := l.Fields["target"]; t != "" && strings.Contains(c.Fields["attempts"], t+":") {
			return true
		}
		if l.Fields["host"] == c.Fields["host"] && slices.Contains(hostMessages, l.Message()) {
			return true
		}
	}
	return false
}

// Write writes the lines in chronological order; those of the request itself are marked with
// ">".
func (tl *Timeline) Write(w io.Writer) error {
	lines := slices.Concat(tl.Context, tl.Calls)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Fields["host"], b.Fields["host"]))
	})
	for _, l := range lines {
		mark := "  "
		if l.Message() == "call" {
			mark = "> "
		}
		if _, err := io.WriteString(w, mark+l.Text+"\n"); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return nil
}
