package cmds

import (
	"io"

	"github.com/alecthomas/kong"
)

// Tree returns the command tree for the test that writes docs/commands.
func Tree() (*kong.Application, error) {
	parser, err := newParser(io.Discard, io.Discard, func(int) {})
	if err != nil {
		return nil, err
	}
	return parser.Model, nil
}
