package intake

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	core "peridotpick.example/core/intake"
)

// ErrTooLarge is the error of a body that is larger than its limit.
var ErrTooLarge = errors.New("body is too large")

// firstReadBytes is the size of the first buffer of a body; most bodies fit into it.
const firstReadBytes = 1 << 10

// ReadBody reads the body of a request, of at most limit bytes. The error is ErrTooLarge,
// ErrGivenWay if the request gave way to others, or that of the connection. Without an error the
// request was received whole, and its connection stays open until the answer is known.
func ReadBody(req *http.Request, limit int) ([]byte, error) {
	if req.ContentLength > int64(limit) {
		return nil, ErrTooLarge
	}
	body, err := readBody(req, limit)
	req.Trailer = nil // its lines may take far more memory than their bytes
	if err != nil {
		return nil, err
	}
	if c := connOf(req.Context()); c != nil && req.ContentLength != 0 {
		return body, c.whole()
	}
	return body, nil
}

// readBody reads a body into a buffer that grows with it.
func readBody(req *http.Request, limit int) ([]byte, error) {
	size := firstReadBytes
	if req.ContentLength >= 0 {
		size = min(size, int(req.ContentLength)+1)
	}
	buffer := make([]byte, 0, min(size, limit+1))
	for {
		if len(buffer) == cap(buffer) {
			size := min(2*cap(buffer), limit+1)
			if err := grow(req, size-cap(buffer)); err != nil {
				return nil, err
			}
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			buffer = larger
		}
		n, err := req.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, readError(req, err)
		}
	}
}

// grow notes that the body of a request takes more memory.
func grow(req *http.Request, bytes int) error {
	if c := connOf(req.Context()); c != nil {
		return c.event(func(t *core.Table) ([]core.Victim, bool) { return t.Grow(c.id, int64(bytes)) })
	}
	return nil
}

// readError returns ErrGivenWay if that is why a body was not read further.
func readError(req *http.Request, err error) error {
	if grow(req, 0) != nil {
		return ErrGivenWay
	}
	return eris.Wrap(err, "read body")
}

// Decoded notes that what was decoded from a request that was received whole takes the given memory.
// The error is ErrGivenWay if requests that wait for answers hold too much already.
func Decoded(req *http.Request, bytes int64) error {
	if c := connOf(req.Context()); c != nil {
		return c.event(func(t *core.Table) ([]core.Victim, bool) { return t.Decoded(c.id, bytes) })
	}
	return nil
}
