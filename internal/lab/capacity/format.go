package capacity

import (
	"fmt"
	"math"
	"strings"
)

// formatFigure formats a number with three significant digits and commas between thousands.
func formatFigure(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprint(value)
	}
	decimals := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if decimals <= 0 {
		unit := math.Pow(10, float64(-decimals))
		return groupDigits(fmt.Sprintf("%.0f", math.Round(value/unit)*unit))
	}
	text := fmt.Sprintf("%.*f", min(decimals, 9), value)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// groupDigits puts commas between the thousands of an integer.
func groupDigits(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}

// formatInteger rounds a number to an integer and groups its digits.
func formatInteger(value float64) string { return groupDigits(fmt.Sprintf("%.0f", value)) }

// formatSize formats a size: an integer in full, and others with three significant digits.
func formatSize(size float64) string {
	if size == math.Trunc(size) {
		return formatInteger(size)
	}
	return formatFigure(size)
}

// markdownTable builds a table in Markdown.
type markdownTable struct{ strings.Builder }

// newMarkdownTable returns a table with a header row.
func newMarkdownTable(columns ...string) *markdownTable {
	t := &markdownTable{}
	t.row(columns...)
	for range columns {
		t.WriteString("| --- ")
	}
	t.WriteString("|\n")
	return t
}

// row adds a row. A vertical bar in a cell becomes a slash.
func (t *markdownTable) row(cells ...string) {
	for _, c := range cells {
		t.WriteString("| " + strings.ReplaceAll(c, "|", "/") + " ")
	}
	t.WriteString("|\n")
}
