// Package explain finds in the logs of entry hosts what became of a request, and
// what the hosts had learned of the targets and the configuration that it met.
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

// Around a request: lines of what hosts believed are shown from before it arrived
// until after it ended.
const (
	before = 10 * time.Second
	after  = time.Second
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At   time.Time
	Text string
	// Fields are the line's pairs.
	Fields map[string]string
}

// Message is what the line says.
func (l Line) Message() string { return l.Fields["msg"] }

// pair is key=value or key="quoted value".
var pair = regexp.MustCompile(`([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|[^ ]*)`)

// stamp is the field that each line begins with, also behind a prefix that whoever
// gathered the log put before it.
const stamp = "ts="

// Parse reads a line; false means that it is none of cactusproxy's.
func Parse(text string) (Line, bool) {
	i := strings.Index(text, stamp)
	if i < 0 {
		return Line{}, false
	}
	l := Line{Text: text[i:], Fields: make(map[string]string)}
	for _, m := range pair.FindAllStringSubmatch(l.Text, -1) {
		l.Fields[m[1]] = strings.Trim(m[2], `"`)
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["ts"])
	l.At = at
	return l, err == nil
}

// Timeline is what the logs tell of a request.
type Timeline struct {
	// Calls are the lines of the request itself, one for each host that had it.
	Calls []Line
	// Context are lines of any host about the targets that the request met, its
	// host, and the configuration, from the time around it.
	Context []Line
}

// ErrNotFound says that no log has a line of the request.
var ErrNotFound = errors.New("no line of this request: it was answered well, or left out to bound the volume (see call_lines_dropped), or the host's log is missing")

// Find looks for a request in logs.
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
	var s Timeline
	for _, l := range all {
		if l.Message() == "call" && l.Fields["request"] == id {
			s.Calls = append(s.Calls, l)
		}
	}
	if len(s.Calls) == 0 {
		return s, ErrNotFound
	}
	for _, l := range all {
		if l.Message() != "call" && s.concerns(l) {
			s.Context = append(s.Context, l)
		}
	}
	return s, nil
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

// hostWide are messages about a whole host, which matter if it is the request's.
var hostWide = []string{
	"listening", "leaving", "left", "configuration in force", "targets read",
	"store lost", "store regained", "watching the store", "no longer watching the store",
	"settings read again",
	"zone evacuated", "evacuation ended", "evacuation kept, no word of the store",
}

// concerns reports whether a line may have to do with the request.
func (s *Timeline) concerns(l Line) bool {
	for _, c := range s.Calls {
		took, _ := time.ParseDuration(c.Fields["took"])
		arrived := c.At.Add(-took)
		if l.At.Before(arrived.Add(-before)) || l.At.After(c.At.Add(after)) {
			continue
		}
		if t := l.Fields["target"]; t != "" && strings.Contains(c.Fields["attempts"], t+":") {
			return true
		}
		if l.Fields["host"] == c.Fields["host"] && slices.Contains(hostWide, l.Message()) {
			return true
		}
	}
	return false
}

// Write tells the story in order of time.
func (s *Timeline) Write(w io.Writer) error {
	lines := slices.Concat(s.Context, s.Calls)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Fields["host"], b.Fields["host"]))
	})
	for _, l := range lines {
		mark := "  "
		if l.Message() == "call" {
			mark = "> "
		}
		if _, err := io.WriteString(w, mark+l.Text+"\n"); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	return nil
}
