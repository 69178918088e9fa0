package main_test

import (
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/configurer"
	"primrosehook/server"
)

func operations() string {
	GinkgoHelper()
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// section returns the text of a page below a second-level heading, up to the next
// one.
func section(page, heading string) string {
	GinkgoHelper()
	_, rest, ok := strings.Cut(page, "\n## "+heading+"\n")
	Expect(ok).To(BeTrue(), heading)
	rest, _, _ = strings.Cut(rest, "\n## ")
	return rest
}

// firstColumn returns the words in backquotes in the first column of a section's
// tables.
func firstColumn(section string) []string {
	word := regexp.MustCompile("`([^`]+)`")
	var all []string
	for line := range strings.Lines(section) {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, m := range word.FindAllStringSubmatch(cells[1], -1) {
				all = append(all, m[1])
			}
		}
	}
	return all
}

// skippedDirs are directories without output that operators see.
var skippedDirs = []string{"faker", "launcher", "soaker", "bencher", "standin", "docs", "testdata"}

// visitCode calls visit with each syntax node of the program's code, without tests.
func visitCode(visit func(n ast.Node)) {
	GinkgoHelper()
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains(skippedDirs, d.Name()) || strings.HasPrefix(d.Name(), ".") && len(d.Name()) > 2 {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			visit(n)
			return true
		})
		return nil
	})
	Expect(err).NotTo(HaveOccurred())
}

// text returns the value of a string literal, and false for any other expression.
func text(e ast.Expr) (string, bool) {
	b, ok := e.(*ast.BasicLit)
	if !ok || b.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(b.Value)
	return s, err == nil
}

// methodCall returns a call of the form on.name(...) with the receiver or package
// and the name. The call is nil for any other node.
func methodCall(n ast.Node) (c *ast.CallExpr, on, name string) {
	c, ok := n.(*ast.CallExpr)
	if !ok {
		return nil, "", ""
	}
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil, "", ""
	}
	switch x := s.X.(type) {
	case *ast.Ident:
		on = x.Name
	case *ast.SelectorExpr:
		on = x.Sel.Name
	}
	return c, on, s.Sel.Name
}

// codesIn adds the refusal codes in a node to a set.
func codesIn(n ast.Node, codes map[string]bool) {
	if c, on, name := methodCall(n); c != nil && on == "judge" {
		at := map[string]int{"Unavailable": 0, "Invalid": 0, "Unknown": 0, "FromNetworkError": 1}
		if i, ok := at[name]; ok && len(c.Args) > i {
			if code, ok := text(c.Args[i]); ok {
				codes[code] = true
			}
		}
	}
	pair, ok := n.(*ast.KeyValueExpr)
	if !ok {
		return
	}
	if key, ok := pair.Key.(*ast.Ident); ok && key.Name == "Code" {
		if code, ok := text(pair.Value); ok {
			codes[code] = true
		}
	}
}

var _ = Describe("docs/OPERATIONS.md", func() {
	It("documents every setting and no others", func() {
		var s configurer.Settings
		table := "| setting | default | allowed | meaning |\n|---|---|---|---|\n"
		for _, one := range configurer.Register(flag.NewFlagSet("test", flag.ContinueOnError), &s) {
			table += "| `-" + one.Name + "` | `" + one.Default + "` | " + one.Allowed + " | " + one.Usage + " |\n"
		}
		Expect(section(operations(), "Settings")).To(ContainSubstring(strings.ReplaceAll(table, "``", "empty")))
		Expect(strings.Count(section(operations(), "Settings"), "| `-")).To(Equal(strings.Count(table, "| `-")))
	})

	It("documents every counter of the server and no others", func() {
		w := httptest.NewRecorder()
		h := server.New(clockwork.NewFakeClock()).OperatorHandler()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
		var vars struct{ Server map[string]any }
		Expect(json.Unmarshal(w.Body.Bytes(), &vars)).To(Succeed())
		var names []string
		for name := range vars.Server {
			names = append(names, "server."+name)
		}
		documented := slices.DeleteFunc(firstColumn(section(operations(), "Counters")), func(name string) bool {
			return !strings.HasPrefix(name, "server.")
		})
		Expect(documented).To(ConsistOf(names))
	})

	It("documents every counter of a running instance", func() {
		f := newFleet()
		p, err := http.Get("http://" + f.operators + "/debug/vars")
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		var vars map[string]map[string]any
		Expect(json.NewDecoder(p.Body).Decode(&vars)).To(Succeed())
		documented := firstColumn(section(operations(), "Counters"))
		for part, counters := range vars {
			for name := range counters {
				Expect(documented).To(ContainElement(strings.ToLower(part+"."+name)), "add a row to the table of counters")
			}
		}
	})

	It("documents every refusal code", func() {
		codes := map[string]bool{}
		visitCode(func(n ast.Node) { codesIn(n, codes) })
		Expect(len(codes)).To(BeNumerically(">", 20))
		documented := firstColumn(section(operations(), "Refusal codes"))
		for code := range codes {
			Expect(documented).To(ContainElement(code), "add a row to the table of refusal codes")
		}
	})

	It("documents every log line above debug level", func() {
		lines := map[string]bool{}
		visitCode(func(n ast.Node) {
			c, on, name := methodCall(n)
			if c == nil || len(c.Args) == 0 || !strings.HasSuffix(strings.ToLower(on), "log") ||
				!slices.Contains([]string{"Info", "Warn", "Error"}, name) {
				return
			}
			if line, ok := text(c.Args[0]); ok {
				lines[line] = true
			}
		})
		Expect(len(lines)).To(BeNumerically(">", 8))
		documented := firstColumn(section(operations(), "Log lines"))
		for line := range lines {
			Expect(line).To(MatchRegexp(`^[a-z]+: `), "a log line starts with the name of its part")
			Expect(documented).To(ContainElement(line), "add a row to the table of log lines")
		}
	})
})
