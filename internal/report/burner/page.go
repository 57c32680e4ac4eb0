package burner

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// pageTemplate is the HTML page of a report. It is self-contained.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"rate":    func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
	"left":    func(left float64) string { return fmt.Sprintf("%.1f%%", 100*left) },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service levels</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ccc; padding: 0.2em 0.8em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.alert { color: #b00020; font-weight: bold; }
</style>
</head>
<body>
<h1>Service levels at {{.Report.Time.Format "2006-01-02 15:04:05 UTC"}}</h1>
{{- if not .Report.Levels}}
<p>No work with an objective in the period.</p>
{{- end}}
{{- range $i, $level := .Report.Levels}}
<h2>{{.Team}}, {{.Queue}}: {{percent .Target}} within {{.Wait}}</h2>
{{- range .Alerts}}
<p class="alert">{{.}}</p>
{{- end}}
<p>Budget left: {{left .Left}}</p>
<table>
<tr><th>window</th><th>met</th><th>missed</th><th>burn rate</th></tr>
{{- range .Burns}}
<tr><td>{{.Window}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{rate .Rate}}</td></tr>
{{- end}}
</table>
{{index $.Plots $i}}
{{- end}}
</body>
</html>
`))

// HTML writes the report as an HTML page with a plot for each service level.
func (r Report) HTML(w io.Writer) error {
	plots := make([]template.HTML, len(r.Levels))
	for i, l := range r.Levels {
		svg, err := l.plot()
		if err != nil {
			return err
		}
		plots[i] = template.HTML(svg) //nolint:gosec // made by the plot library, which escapes text
	}

	return errors.Wrap(pageTemplate.Execute(w, map[string]any{"Report": r, "Plots": plots}), "write page")
}

// plot draws the burn rate of each hour, and a line at rate 1, at which the budget
// lasts exactly the period. It returns an SVG element.
func (l Level) plot() ([]byte, error) {
	p := plot.New()
	p.X.Label.Text = "hours ago"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	points := make(plotter.XYs, len(l.Series))
	for i, rate := range l.Series {
		points[i] = plotter.XY{X: float64(i - len(l.Series) + 1), Y: rate}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	line.StepStyle = plotter.MidStep
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Color = color.RGBA{R: 0xb0, B: 0x20, A: 0xff}
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(plotter.NewGrid(), line, limit)
	p.Y.Max = max(p.Y.Max, 1.5)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	// An XML declaration is not allowed inside an HTML page.
	if start := bytes.Index(out.Bytes(), []byte("<svg")); start > 0 {
		out.Next(start)
	}

	return out.Bytes(), nil
}
