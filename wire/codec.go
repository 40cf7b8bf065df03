package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"
	"storj.io/drpc"
)

// Decoder limits that protect against malformed or malicious input.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 12
	maxNesting       = 16
)

// Checksum returns the xxh3 checksum that messages carry along with a payload.
func Checksum(payload []byte) uint64 { return xxh3.Hash(payload) }

// Codec encodes messages as CBOR (RFC 8949). It implements drpc.Encoding.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

var _ drpc.Encoding = Codec{}

// Encoding is the codec shared by all links.
var Encoding = newCodec()

func newCodec() Codec {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return Codec{enc: enc, dec: dec}
}

// Marshal implements drpc.Encoding.
func (c Codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.enc.Marshal(msg)
	return data, eris.Wrap(err, "encode message")
}

// Unmarshal implements drpc.Encoding.
func (c Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return eris.Wrap(c.dec.Unmarshal(buf, msg), "decode message")
}
