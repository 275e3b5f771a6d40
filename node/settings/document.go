package settings

import (
	"fmt"
	"reflect"
	"strings"

	"banyanyard/core/strict"
)

const docHeader = `# Settings of an entry instance

A TOML file, passed to ` + "`banyanyard serve --settings FILE`" + `. Keys that are not
listed here are errors. This page is generated from the declarations in
node/settings; a test checks that it is up to date.
`

// Document returns the text of docs/SETTINGS.md.
func Document() string {
	var b strings.Builder
	b.WriteString(docHeader)
	defaults := reflect.ValueOf(Default())
	for i := range defaults.NumField() {
		field := defaults.Type().Field(i)
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| key | default | meaning |\n| --- | --- | --- |\n", strict.TOMLKey(field), field.Tag.Get("doc"))
		writeTable(&b, strict.TOMLKey(field), defaults.Field(i))
	}
	return b.String()
}

func writeTable(b *strings.Builder, table string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		fmt.Fprintf(b, "| `%s.%s` | %s | %s |\n", table, strict.TOMLKey(field), defaultText(v.Field(i)), field.Tag.Get("doc"))
	}
}

func defaultText(v reflect.Value) string {
	if v.IsZero() && v.Kind() != reflect.Bool {
		return "none"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}
