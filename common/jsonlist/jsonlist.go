// Package jsonlist decodes JSON arrays of limited length. The element after the last allowed one ends
// the decoding, so that an array takes no more memory than its limit says, whatever its length.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"
)

var errNotArray = errors.New("it is not an array")

// Decode decodes an array of at most most elements; null stands for an empty one.
func Decode[T any](raw []byte, most int) ([]T, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	switch opening, err := decoder.Token(); {
	case err != nil || opening == nil: // null
		return nil, err
	case opening != json.Delim('['):
		return nil, errNotArray
	}
	var list []T
	for decoder.More() {
		if len(list) == most {
			return nil, eris.Errorf("more than %d elements", most)
		}
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	_, err := decoder.Token() // the closing bracket
	return list, err
}

// DecodeSet decodes an array of integers from 0 to below limit. Repeated ones are kept once, so that
// the result has at most limit elements, in the order of their first appearance. null stands for an
// empty array.
func DecodeSet(raw []byte, limit int) ([]int, error) {
	raw = bytes.TrimSpace(raw)
	if string(raw) == "null" {
		return nil, nil
	}
	inner, isArray := bytes.CutPrefix(raw, []byte("["))
	if !isArray {
		return nil, errNotArray
	}
	inner = bytes.TrimSpace(bytes.TrimSuffix(inner, []byte("]")))
	var list []int
	seen := make([]bool, limit)
	for more := len(inner) > 0; more; {
		var element []byte
		element, inner, more = bytes.Cut(inner, []byte(","))
		element = bytes.TrimSpace(element)
		n, err := strconv.Atoi(string(element))
		if err != nil || n < 0 || n >= limit {
			return nil, eris.Errorf("%.20q is not an integer from 0 to %d", element, limit-1)
		}
		if !seen[n] {
			seen[n] = true
			list = append(list, n)
		}
	}
	return list, nil
}
