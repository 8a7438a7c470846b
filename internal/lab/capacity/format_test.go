package capacity

import "testing"

func TestFormatFigure(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 2537.4: "2,540", 12345678: "12,300,000",
		0.0012345: "0.00123",
		61.27:     "61.3", 1: "1", 999.9: "1,000", -1234: "-1,230", 20: "20"} {
		if got := formatFigure(v); got != want {
			t.Errorf("%v: %q, want %q", v, got, want)
		}
	}
}
