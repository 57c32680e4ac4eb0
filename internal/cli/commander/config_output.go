package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Format is the choice between text for people and JSON for programs.
type Format struct {
	Output string `arg:"--output" default:"text" help:"text or json"`
}

// check refuses an unknown format.
func (f Format) check() error {
	if f.Output != "text" && f.Output != "json" {
		return errors.Errorf("--output is %q; it must be text or json", f.Output)
	}

	return nil
}

// write prints value as JSON, or calls text.
func (f Format) write(w io.Writer, value any, text func(io.Writer) error) error {
	if f.Output != "json" {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)

	return errors.Wrap(encoder.Encode(value), "write answer")
}

// printer collects the first error of several prints.
type printer struct {
	w   io.Writer
	err error
}

// printf prints unless an earlier print failed.
func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
