package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// UpdatePage updates the generated tables in the Markdown file page and writes the
// plots to the capacity directory next to it.
func UpdatePage(page string, s Slopes) error {
	old, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	text, err := replaceBetween(string(old), "slopes", slopeTable(s))
	if err != nil {
		return err
	}
	text, err = replaceBetween(text, "target", estimate(s).Table())
	if err != nil {
		return err
	}
	if err := writePlots(filepath.Join(filepath.Dir(page), "capacity"), s); err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

func slopeTable(s Slopes) string {
	var b strings.Builder
	b.WriteString("| slope | x | y | measured | line | R2 | worst error |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, sl := range s.All() {
		b.WriteString(sl.Row() + "\n")
	}
	return b.String()
}

func writePlots(dir string, s Slopes) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, sl := range s.All() {
		if err := sl.Plot(filepath.Join(dir, sl.Name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// replaceBetween replaces the text between the begin and end markers of a section.
func replaceBetween(text, name, replacement string) (string, error) {
	begin := fmt.Sprintf("<!-- begin %s -->\n", name)
	end := fmt.Sprintf("<!-- end %s -->", name)
	head, rest, ok := strings.Cut(text, begin)
	if !ok {
		return "", fmt.Errorf("marker %q not found in page", strings.TrimSpace(begin))
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return "", fmt.Errorf("marker %q not found in page", end)
	}
	return head + begin + replacement + end + tail, nil
}
