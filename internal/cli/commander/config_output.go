package commander

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Format selects the output: text for people or JSON for programs.
type Format struct {
	Output string `arg:"--output" default:"text" help:"text or json"`
}

// check returns an error for an unknown format.
func (f Format) check() error {
	if f.Output != "text" && f.Output != "json" {
		return errors.Errorf("--output is %q; it must be text or json", f.Output)
	}

	return nil
}

// write prints value as JSON, or calls text for the text format.
func (f Format) write(w io.Writer, value any, text func(io.Writer) error) error {
	if f.Output != "json" {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)

	return errors.Wrap(encoder.Encode(value), "write answer")
}

// printer prints to a writer and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

// printf does nothing if an earlier call failed.
func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
