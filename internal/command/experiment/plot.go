package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth       = 18 * vg.Centimeter
	plotHeight      = 10 * vg.Centimeter
	barWidth        = 14 * vg.Inch / 72 // 14 points
	millisPerSecond = 1000
)

// Plot writes plots as SVG to dir: the shares of requests on time as bars to on-time.svg,
// and for each kind the distribution of the time to the first event to first-KIND.svg.
// Errors have KindPlot.
func (r *Report) Plot(dir string) error {
	if len(r.Policies) == 0 {
		return nil
	}
	if err := r.plotOnTime(filepath.Join(dir, "on-time.svg")); err != nil {
		return err
	}
	for i, k := range r.Policies[0].Kinds {
		if err := r.plotFirst(i, filepath.Join(dir, "first-"+k.Kind+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) plotOnTime(file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.Y.Label.Text = "share on time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	var names []string
	for _, k := range r.Policies[0].Kinds {
		names = append(names, k.Kind)
	}
	for i, policy := range r.Policies {
		var values plotter.Values
		for _, k := range policy.Kinds {
			values = append(values, k.OnTime)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return fail("plot", KindPlot, "%w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(r.Policies)+1) / 2 // center the group of bars on the kind
		p.Add(bars)
		p.Legend.Add(policy.Policy, bars)
	}
	p.NominalX(names...)
	return save(p, file)
}

func (r *Report) plotFirst(kind int, file string) error {
	p := plot.New()
	p.Title.Text = r.Name + ": " + r.Policies[0].Kinds[kind].Kind
	p.X.Label.Text = "first event within seconds"
	p.Y.Label.Text = "share of all requests"
	p.Y.Min, p.Y.Max = 0, 1
	for i, policy := range r.Policies {
		var line plotter.XYs
		for _, at := range policy.Kinds[kind].curve {
			line = append(line, plotter.XY{X: at.ms / millisPerSecond, Y: at.share})
		}
		if len(line) == 0 {
			continue
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return fail("plot", KindPlot, "%w", err)
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(policy.Policy, l)
	}
	return save(p, file)
}

func save(p *plot.Plot, file string) error {
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fail("plot", KindPlot, "%w", err)
	}
	return nil
}
