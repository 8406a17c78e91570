package control

import (
	"papayaquay/core/config"
	"papayaquay/core/home"
)

// Codec encodes and decodes the data that ledgers store. Its functions keep this
// package independent of the serialization library.
type Codec struct {
	encodeCommand func(home.Command) ([]byte, error)
	decodeCommand func([]byte) (home.Command, error)
	encodeChange  func(config.Change) ([]byte, error)
	decodeChange  func([]byte) (config.Change, error)
	encodeHome    func(home.Records) ([]byte, error)
	decodeHome    func([]byte) (home.Records, error)
	encodeConfig  func(*config.State) ([]byte, error)
	decodeConfig  func([]byte) (*config.State, error)
}

// CodecOption sets two functions of a codec.
type CodecOption func(*Codec)

// WithCommandCodec sets the functions for home commands.
func WithCommandCodec(encode func(home.Command) ([]byte, error), decode func([]byte) (home.Command, error)) CodecOption {
	return func(c *Codec) { c.encodeCommand, c.decodeCommand = encode, decode }
}

// WithChangeCodec sets the functions for configuration changes.
func WithChangeCodec(encode func(config.Change) ([]byte, error), decode func([]byte) (config.Change, error)) CodecOption {
	return func(c *Codec) { c.encodeChange, c.decodeChange = encode, decode }
}

// WithHomeCodec sets the functions for snapshots of home ledgers.
func WithHomeCodec(encode func(home.Records) ([]byte, error), decode func([]byte) (home.Records, error)) CodecOption {
	return func(c *Codec) { c.encodeHome, c.decodeHome = encode, decode }
}

// WithConfigCodec sets the functions for snapshots of the configuration ledger.
func WithConfigCodec(encode func(*config.State) ([]byte, error), decode func([]byte) (*config.State, error)) CodecOption {
	return func(c *Codec) { c.encodeConfig, c.decodeConfig = encode, decode }
}

// NewCodec returns a codec. All four options are required.
func NewCodec(options ...CodecOption) Codec {
	var c Codec
	for _, option := range options {
		option(&c)
	}
	return c
}
