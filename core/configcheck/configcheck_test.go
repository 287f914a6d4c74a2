package configcheck

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// sound returns a configuration without findings.
func sound() *work.Configuration {
	route := func(name, prefix string) work.Queue {
		return work.Queue{Name: name, Host: "h", Prefix: prefix, Pool: "p", MaxAttempts: 4, Timeout: 1500 * time.Millisecond, Stretch: 1.6, Target: 60 * time.Millisecond}
	}
	return &work.Configuration{Version: 7, Pools: []string{"p"}, Queues: []work.Queue{route("a", "/a/"), route("b", "/b/")}}
}

// TestFindings guards against faults that are not found or are reported for another field,
// and against warnings about a sound configuration.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(c *work.Configuration, b *work.Queue)
		want []Finding
	}{
		"sound":             {func(*work.Configuration, *work.Queue) {}, nil},
		"longer prefix":     {func(_ *work.Configuration, b *work.Queue) { b.Prefix = "/a/b/" }, nil},
		"17 digits":         {func(_ *work.Configuration, b *work.Queue) { b.Prefix = "/a/0123456789abcdef0" }, nil},
		"IPv6 host":         {func(_ *work.Configuration, b *work.Queue) { b.Host = "::1" }, nil},
		"all attempts fit":  {func(_ *work.Configuration, b *work.Queue) { b.Timeout = 240 * time.Millisecond }, nil},
		"one attempt":       {func(_ *work.Configuration, b *work.Queue) { b.MaxAttempts, b.Timeout = 0, 61*time.Millisecond }, nil},
		"three errors":      {func(c *work.Configuration, b *work.Queue) { b.Pool, b.Timeout, b.Prefix = "x", 0, "/a/" }, []Finding{{Code: UnknownService, Field: Pool}, {Code: TimeoutNotPositive, Field: Timeout}, {Code: DuplicateRoute, Field: Prefix}}},
		"same name":         {func(_ *work.Configuration, b *work.Queue) { b.Name = "a" }, []Finding{{Code: DuplicateName, Field: Name}}},
		"relative prefix":   {func(_ *work.Configuration, b *work.Queue) { b.Prefix = "b/" }, []Finding{{Code: NeverMatches, Field: Prefix}}},
		"host with port":    {func(_ *work.Configuration, b *work.Queue) { b.Host = "h:80" }, []Finding{{Code: NeverMatches, Field: Host}}},
		"prefix of job ids": {func(_ *work.Configuration, b *work.Queue) { b.Prefix = "/a/0F" }, []Finding{{Code: JobIDsShadowed, Field: Prefix}}},
		"unused service":    {func(c *work.Configuration, _ *work.Queue) { c.Pools = append(c.Pools, "q") }, []Finding{{Code: UnusedService, Field: Name, InPools: true}}},
		"short timeout":     {func(_ *work.Configuration, b *work.Queue) { b.Timeout = b.Target }, []Finding{{Code: TimeoutBelowObjective, Field: Timeout}}},
		"many attempts":     {func(_ *work.Configuration, b *work.Queue) { b.Timeout = 239 * time.Millisecond }, []Finding{{Code: AttemptsExceedTimeout, Field: MaxAttempts}}},
		"low stretch":       {func(_ *work.Configuration, b *work.Queue) { b.Stretch = 0.9 }, []Finding{{Code: StretchBelowOne, Field: Stretch}}},
	} {
		edited := sound()
		c.edit(edited, &edited.Queues[1])
		found := slices.Collect(Check(edited))
		refused := false
		for i := range found {
			assert.Equal(t, found[i].Index, 1, name)
			refused = refused || found[i].Severity == Error
			found[i].Severity, found[i].Index, found[i].Text = "", 0, ""
		}
		assert.DeepEqual(t, found, c.want)
		assert.Equal(t, refused, edited.Validate() != nil, name)
	}
}

// TestCompare guards against changes for callers that are not listed, or with the wrong
// direction.
func TestCompare(t *testing.T) {
	assert.Equal(t, len(Compare(sound(), sound())), 0)
	next := sound()
	next.Version, next.Pools = 8, []string{"p", "q"}
	next.Queues[0] = work.Queue{Name: "n", Host: "h", Prefix: "/a/", Pool: "q", MaxAttempts: 1, Priority: 2, Timeout: time.Second, Stretch: 1.5, Target: 70 * time.Millisecond}
	next.Queues[1].Prefix = "/c/"
	assert.DeepEqual(t, Compare(sound(), next), []Difference{
		{VersionChanged, "", "7", "8", "callers see the differences below once it is in force"},
		{RouteRemoved, "b", "h /b/", "", "callers of h /b/ get 404 once it is in force, also for jobs that they have there"},
		{RouteRenamed, "n", "a", "n", "none for callers; logs and metrics have the new name"},
		{BackendChanged, "n", "p", "q", `new jobs of callers of h /a/ run on the endpoints of service "q"; jobs accepted before stay with "p"`},
		{TimeoutChanged, "n", "1.5s", "1s", "a shorter time-out: an answer to callers of h /a/ has to come within 1s"},
		{PriorityChanged, "n", "0", "2", "a lower priority: under load, callers of h /a/ are served after those of routes with a number below 2"},
		{AttemptsChanged, "n", "4", "1", "jobs of callers of h /a/ fail after fewer failed runs of a task"},
		{TargetChanged, "n", "60ms", "70ms", "a longer objective: under load, fewer new jobs of callers of h /a/ are refused, and they wait longer"},
		{StretchChanged, "n", "1.6", "1.5", "a shorter objective: under load, more new jobs of callers of h /a/ are refused"},
		{RouteAdded, "b", "", "h /c/", `callers of h /c/, who get 404 now, are served by service "p"`},
		{ServiceAdded, "q", "", "q", "none for callers until a route uses it"},
	})
	back := Compare(next, sound())
	assert.Equal(t, back[0].Effect, "none: it would be acknowledged and ignored, since only a higher version comes into force")
	assert.Equal(t, back[len(back)-1], Difference{ServiceRemoved, "q", "q", "", "none for callers but those of its routes"})
}
