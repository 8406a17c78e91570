package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAttribute measures the rejections of a table of the given number of crashes, each
// with the maximum number of prompts of three parts.
func BenchmarkAttribute(b *testing.B) {
	for _, crashes := range []int{16, 64, maxCrashes} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			w := New(1)
			for n := range crashes {
				var prompts []Prompt
				for p := range maxPromptsPerCrash {
					prompts = append(prompts, Prompt{Part(fmt.Sprint("first", p%5)), Part(fmt.Sprint("second", (n*p)%97)), unique(n*100 + p)})
				}
				w.Report(now, NewCrash(NewCrashID(fmt.Sprint("b", n), 1), 0, prompts, nil).WithBegun(prompts))
			}
			b.ReportAllocs()
			for b.Loop() {
				w.attribute(now)
			}
		})
	}
}
