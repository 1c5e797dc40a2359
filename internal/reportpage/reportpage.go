// Package reportpage is what the operators' reports share: their style sheet, and how they are
// written for programs.
package reportpage

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
)

//go:embed style.css
var style string

// Parse returns the template of a page, which includes the style sheet by
// {{template "style"}}. It panics if the text is no template: pages are part of the program.
func Parse(text string, functions template.FuncMap) *template.Template {
	t := template.Must(template.New("page").Funcs(functions).Parse(text))
	template.Must(t.New("style").Parse("<style>\n" + style + "</style>"))
	return t
}

// JSON writes a report for programs.
func JSON(w io.Writer, report any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(report)
}
