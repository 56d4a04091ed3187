package load

import (
	"bytes"
	"html/template"
	"io"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"primrosegw/core/fault"
)

const (
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// WriteJSON writes a result as indented JSON with the same bytes for the same
// result.
func WriteJSON(out io.Writer, result Result) error {
	err := json.MarshalWrite(out, result, json.Deterministic(true), jsontext.WithIndent("  "))
	if err != nil {
		return fault.Wrap("load.writeJSON", Report, err)
	}
	_, err = out.Write([]byte("\n"))
	return err
}

// page is the report: a table of the classes and the plots.
const page = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load report</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
</style>
</head>
<body>
<h1>Load report</h1>
<p>Seed {{.Result.Seed}}, {{printf "%.1f" .Result.ElapsedSeconds}} s, calls sent at most {{printf "%.1f" .Result.LatestMs}} ms late.</p>
{{if .Result.Void}}<p><strong>Void: the generator dropped {{.Result.All.Dropped}} calls or ran out of open files.</strong></p>{{end}}
<table>
<tr><th>class</th><th>sent</th><th>complete</th><th>refused</th><th>expired</th><th>broken</th><th>failed</th><th>wrong</th><th>attainment</th><th>tokens/s in target</th><th>wasted tokens</th><th>first token p50</th><th>p95</th><th>p99</th><th>between tokens p50</th><th>p95</th><th>p99</th></tr>
{{range .Rows}}<tr><td>{{.Class}}</td><td>{{.Sent}}</td><td>{{.Complete}}</td><td>{{.Refused}}</td><td>{{.Expired}}</td><td>{{.Broken}}</td><td>{{.Failed}}</td><td>{{.Wrong}}</td><td>{{printf "%.4f" .Attainment}}</td><td>{{printf "%.1f" .GoodputTokens}}</td><td>{{.WastedTokens}}</td><td>{{printf "%.1f" .FirstToken.P50}}</td><td>{{printf "%.1f" .FirstToken.P95}}</td><td>{{printf "%.1f" .FirstToken.P99}}</td><td>{{printf "%.1f" .BetweenTokens.P50}}</td><td>{{printf "%.1f" .BetweenTokens.P95}}</td><td>{{printf "%.1f" .BetweenTokens.P99}}</td></tr>
{{end}}</table>
<p>Times are in milliseconds and count from the planned start of a call.</p>
<h2>Responses</h2>
<table>
<tr><th>phase</th><th>framing</th><th>whole</th><th>cut</th><th>short</th></tr>
{{range .Result.Responses}}<tr><td>{{.Phase}}</td><td>{{.Framing}}</td><td>{{.Whole}}</td><td>{{.Cut}}</td><td>{{.Short}}</td></tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}{{if .Result.Failures}}<h2>Calls that were not completed</h2>
<table>
<tr><th>reported</th><th>calls</th></tr>
{{range $reported, $calls := .Result.Failures}}<tr><td>{{$reported}}</td><td>{{$calls}}</td></tr>
{{end}}</table>
{{end}}</body>
</html>
`

// WriteHTML writes a result as a page with plots, without references to other
// files. Its error is of kind Report.
func WriteHTML(out io.Writer, result Result) error {
	var plots []template.HTML
	for _, draw := range []func(Result) (*plot.Plot, error){plotCalls, plotFirstTokens} {
		drawn, err := draw(result)
		if err != nil {
			return fault.Wrap("load.writeHTML", Report, err)
		}
		text, err := svg(drawn)
		if err != nil {
			return fault.Wrap("load.writeHTML", Report, err)
		}
		plots = append(plots, text)
	}
	parsed, err := template.New("report").Parse(page)
	if err != nil {
		return fault.Wrap("load.writeHTML", Report, err)
	}
	err = parsed.Execute(out, struct {
		Result Result
		Rows   []ClassResult
		Plots  []template.HTML
	}{result, append(slices.Clone(result.Classes), result.All), plots})
	if err != nil {
		return fault.Wrap("load.writeHTML", Report, err)
	}
	return nil
}

// svg returns a plot as an SVG element for a page.
func svg(drawn *plot.Plot) (template.HTML, error) {
	writer, err := drawn.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var buffer bytes.Buffer
	if _, err := writer.WriteTo(&buffer); err != nil {
		return "", err
	}
	// The XML declaration and the document type are not allowed inside HTML.
	text := buffer.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start >= 0 {
		text = text[start:]
	}
	// Labels are escaped by the plot library.
	return template.HTML(text), nil
}

// newPlot returns an empty plot over the seconds of the run.
func newPlot(title, unit string) *plot.Plot {
	made := plot.New()
	made.Title.Text = title
	made.X.Label.Text = "second of the planned start"
	made.Y.Label.Text = unit
	made.Y.Min = 0
	made.Legend.Top = true
	return made
}

// plotCalls draws the calls by second and outcome.
func plotCalls(result Result) (*plot.Plot, error) {
	made := newPlot("Calls", "calls per second")
	series := func(value func(Second) int) plotter.XYs {
		points := make(plotter.XYs, len(result.Seconds))
		for index, second := range result.Seconds {
			points[index] = plotter.XY{X: float64(second.Second), Y: float64(value(second))}
		}
		return points
	}
	err := plotutil.AddLines(
		made,
		"sent", series(func(second Second) int { return second.Sent }),
		"in target", series(func(second Second) int { return second.InTarget }),
		"refused", series(func(second Second) int { return second.Refused }),
	)
	return made, err
}

// plotFirstTokens draws the 0.95 quantile of the first token by second and class.
func plotFirstTokens(result Result) (*plot.Plot, error) {
	made := newPlot("First token, 0.95 quantile", "ms")
	var lines []any
	for _, class := range result.Classes {
		var points plotter.XYs
		for _, second := range result.Seconds {
			if passed, found := second.FirstTokenP95Ms[class.Class]; found {
				points = append(points, plotter.XY{X: float64(second.Second), Y: passed})
			}
		}
		if len(points) > 0 {
			lines = append(lines, class.Class, points)
		}
	}
	return made, plotutil.AddLines(made, lines...)
}
