// Package reportpage has what the reports for operators share: the style sheet of their HTML pages and
// the format of their JSON.
package reportpage

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
)

//go:embed style.css
var style string

// Parse returns the template of a page with functions. The page includes the style sheet by
// {{template "style"}}. Parse panics if the text is not a valid template, since the pages are embedded in
// the program.
func Parse(text string, functions template.FuncMap) *template.Template {
	t := template.Must(template.New("page").Funcs(functions).Parse(text))
	template.Must(t.New("style").Parse("<style>\n" + style + "</style>"))
	return t
}

// JSON writes a report as indented JSON.
func JSON(w io.Writer, report any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(report)
}
