package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"sync"

	"github.com/cactusproxy/cactusproxy/internal/fieldname"
)

// form says how the first request of some bytes may be served.
type form uint8

const (
	// incomplete means that the header hasn't arrived completely.
	incomplete form = iota
	// plain is a GET or HEAD without a body and without anything that affects the connection.
	plain
	// single is a request of known length that is served by itself.
	single
	// unusual is anything else. Where it ends is left to the server.
	unusual
)

// split is the first request of some bytes.
type split struct {
	form form
	// length is the length of the header and body in bytes, and body that of the body; only for
	// plain and single.
	length, body int
	// request is set for plain.
	request *http.Request
	// counted is set once the request was counted as waiting for a limit.
	counted bool
}

// headerScan finds the empty line that ends a header, over several reads.
type headerScan struct {
	// begun is set after the first byte of a line, cr if that was all of it and a carriage
	// return.
	begun, cr bool
}

// end returns the index behind the header's last byte, or -1 if the header goes on. Lines end with
// a line feed; a carriage return before it is ignored, as net/textproto does.
func (s *headerScan) end(b []byte) int {
	for i := 0; i < len(b); {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			s.cr = !s.begun && len(b)-i == 1 && b[i] == '\r'
			s.begun = true
			return -1
		}
		line := b[i : i+j]
		i += j + 1
		if len(line) == 0 && (!s.begun || s.cr) || !s.begun && len(line) == 1 && line[0] == '\r' {
			return i
		}
		s.begun, s.cr = false, false
	}
	return -1
}

// headerEnd returns the length of the header at the beginning of b, or -1 if it is incomplete.
func headerEnd(b []byte) int { return new(headerScan).end(b) }

// isGetOrHead reports whether a request begins with the method GET or HEAD.
func isGetOrHead(b []byte) bool {
	return bytes.HasPrefix(b, []byte("GET ")) || bytes.HasPrefix(b, []byte("HEAD "))
}

var headerReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// maxFields is the largest number of lines of a header that is parsed before its turn. Parsed, a header of many short
// fields takes more than ten times its size, which isn't part of the memory of the bytes withheld.
const maxFields = 128

// splitFirst returns the first request of b. The header is parsed by http.ReadRequest, as the server
// does; a header whose length differs from what ReadRequest takes is unusual.
func splitFirst(b []byte) split {
	end := headerEnd(b)
	if end < 0 {
		return split{form: incomplete}
	}
	if bytes.Count(b[:end], []byte("\n")) > maxFields {
		return split{form: unusual}
	}
	src := bytes.NewReader(b[:end])
	reader := headerReaders.Get().(*bufio.Reader)
	reader.Reset(src)
	defer func() {
		reader.Reset(nil)
		headerReaders.Put(reader)
	}()
	r, err := http.ReadRequest(reader)
	if err != nil || src.Len() != 0 || reader.Buffered() != 0 || !isRegular(b[:end]) {
		return split{form: unusual}
	}
	return classify(r, end)
}

// classify returns how a request with a header of this length may be served.
func classify(r *http.Request, header int) split {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Method == http.MethodConnect,
		len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ContentLength > maxHeld,
		r.Header["Expect"] != nil || r.Header["Upgrade"] != nil:
		return split{form: unusual}
	case isPlain(r):
		return split{form: plain, length: header, request: r}
	default:
		body := int(r.ContentLength)
		return split{form: single, length: header + body, body: body}
	}
}

// isRegular reports whether all lines of a header end with a carriage return and a line feed, none
// continues another, and there is no control character but the tab.
func isRegular(header []byte) bool {
	for i, b := range header {
		switch {
		case b == '\r':
			if i+1 == len(header) || header[i+1] != '\n' {
				return false
			}
		case b == '\n':
			if i == 0 || header[i-1] != '\r' || i+1 < len(header) && (header[i+1] == ' ' || header[i+1] == '\t') {
				return false
			}
		case b < ' ' && b != '\t' || b == 0x7f:
			return false
		}
	}
	return true
}

// isPlain reports whether a parsed request may be considered to run ahead. It rejects what the
// server would answer by itself, because such an answer closes the connection.
func isPlain(r *http.Request) bool {
	if r.Method != http.MethodGet && r.Method != http.MethodHead || !unremarkable(r) {
		return false
	}
	if !strings.HasPrefix(r.RequestURI, "/") || r.Host == "" || !consistsOf(r.Host, isHostByte) {
		return false
	}
	return fieldname.AllValid(r.Header)
}

// unremarkable reports whether a request has no body and neither a header that affects the
// connection nor an idempotency key.
func unremarkable(r *http.Request) bool {
	h := r.Header
	if r.ContentLength != 0 || r.Close || h["Expect"] != nil || h["Upgrade"] != nil || h["Idempotency-Key"] != nil {
		return false
	}
	c := h["Connection"]
	return c == nil || len(c) == 1 && strings.EqualFold(c[0], "keep-alive")
}

func consistsOf(s string, ok func(byte) bool) bool {
	for i := range len(s) {
		if !ok(s[i]) {
			return false
		}
	}
	return true
}

func isAlphanumeric(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}

func isHostByte(b byte) bool { return isAlphanumeric(b) || strings.IndexByte(".-_:[]", b) >= 0 }
