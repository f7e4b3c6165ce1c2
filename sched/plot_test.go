// SPDX-License-Identifier: Apache-2.0

package sched

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var plots = flag.String("plots", "", "folder that the plots are written to")

// BenchmarkPlots plots waits and packing against load for every policy, into the folder given
// by the flag plots.
func BenchmarkPlots(b *testing.B) {
	if *plots == "" {
		b.Logf("no plots: flag not set")
		return
	}
	loads := []float64{0.5, 0.7, 0.9, 1.1, 1.3, 1.5}
	waits, packing := plot.New(), plot.New()
	waits.Title.Text = "Comhar: lookup wait at p99 by load of batch"
	waits.X.Label.Text, waits.Y.Label.Text = "batch asked for, share of the cell", "ms"
	packing.Title.Text = "Kartvela: scarcest resource in use while work waits"
	packing.X.Label.Text, packing.Y.Label.Text = "work asked for, share of the cell", "%"
	for i, c := range comparedPolicies {
		var w, p plotter.XYs
		for _, load := range loads {
			o := drive(c.make(48, comharWorker), scaleBatch(comhar, load, comharWorker), 30*time.Second, 1)
			w = append(w, plotter.XY{X: load, Y: float64(o.waits["shade-lookup"].ValueAtQuantile(99)) / 1000})
			o = drive(c.make(48, kartvelaWorker), scaleBatch(kartvela, load, kartvelaWorker), 30*time.Second, 1)
			if o.busyTime > time.Second {
				p = append(p, plotter.XY{X: load, Y: 100 * o.busy})
			}
		}
		addCurve(b, waits, i, c.name, w)
		addCurve(b, packing, i, c.name, p)
	}
	for name, p := range map[string]*plot.Plot{"waits": waits, "packing": packing} {
		// The curves of waits rise to the right, those of packing are at the top.
		p.Legend.Top = name == "waits"
		p.Legend.Left = name == "waits"
		file := filepath.Join(*plots, name+".svg")
		if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, file); err != nil {
			b.Fatal(err)
		}
		fmt.Println("wrote", filepath.Base(file))
	}
}

func addCurve(b *testing.B, p *plot.Plot, i int, name string, xy plotter.XYs) {
	if len(xy) == 0 {
		return
	}
	l, s, err := plotter.NewLinePoints(xy)
	if err != nil {
		b.Fatal(err)
	}
	l.Color, s.Color = plotutil.Color(i), plotutil.Color(i)
	s.Shape = plotutil.Shape(i)
	p.Add(l, s)
	p.Legend.Add(name, l, s)
}

// scaleBatch returns the mix with the rate of its batch tasks set so that all tasks together
// ask for the given share of the processors of 48 workers.
func scaleBatch(mix []source, share float64, worker Vec) []source {
	out := append([]source(nil), mix...)
	whole := float64(worker[MilliCPU] * 48)
	var fixed, batch float64
	for _, s := range out {
		asks := s.rate * s.length.Seconds() * float64(s.task.Demand[MilliCPU])
		if s.task.Call {
			fixed += asks
		} else {
			batch += asks
		}
	}
	for i := range out {
		if !out[i].task.Call {
			out[i].rate *= max(0.01, (share*whole-fixed)/batch)
		}
	}
	return out
}
