package report

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"golang.org/x/net/html"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/testutil"
)

// The report is one page that loads nothing else, lists violations and claims before the results, has all plots, and
// escapes texts of the experiment.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x.toml")
	text := testutil.Experiment("Is <b>that</b> so?", "p2c", "random", 2) + `[sweep]
"world.load" = [0.4, 0.8]
[[claim]]
says = "service of p2c >= 0"
[[claim]]
says = "service of p2c >= 2"
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := experiment.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Execute(t.Context(), filepath.Join(dir, "run"), 2, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	h, runs, err := experiment.ReadResults(filepath.Join(dir, "run"))
	if err != nil {
		t.Fatal(err)
	}
	runs[1].Result.Violations, runs[1].Result.ViolationCount = []string{"a <script> ran"}, 1
	var out bytes.Buffer
	if err := Write(&out, h, runs); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if _, err := html.Parse(strings.NewReader(page)); err != nil {
		t.Errorf("parsing the page as HTML: error %v, want none", err)
	}
	// The legend has two swatches, the sweep three plots, and each of the two points six plots over time, one of the
	// latencies, and a heat map for each policy.
	if n := strings.Count(page, "<svg"); n != 2+3+2*(6+1+2) || strings.Contains(page, "<?xml") {
		t.Errorf("page has %d SVG elements, want 23; it has an XML prolog: %v, want false",
			n, strings.Contains(page, "<?xml"))
	}
	if regexp.MustCompile(`(?i)(src|href)=|<script|@import|url\(`).MatchString(page) {
		t.Error("page refers to another resource or has a script, want neither")
	}
	violation := strings.Index(page, "a &lt;script&gt; ran")
	claims := strings.Index(page, "service of p2c &gt;= 2")
	results := strings.Index(page, "<h2>world.load = 0.4")
	if violation < 0 || claims < violation || results < claims {
		t.Errorf("violation at byte %d, claims at byte %d, results at byte %d, want all of them in this order",
			violation, claims, results)
	}
	if escaped := "Is &lt;b&gt;that&lt;/b&gt; so?"; !strings.Contains(page, escaped) {
		t.Errorf("page does not contain the escaped question %q", escaped)
	}
	fails, holds := strings.Count(page, `class="fails">fails`), strings.Count(page, `class="holds">holds`)
	if fails != 1 || holds != 1 {
		t.Errorf("%d claims are shown as failed, want 1; %d as holding, want 1", fails, holds)
	}
}
