package policy

import "testing"

// TestQueueIsResolvedByAddressThenName guards against jobs whose queue is taken for another
// one, or for removed, after operators gave it another name or address.
func TestQueueIsResolvedByAddressThenName(t *testing.T) {
	ref := QueueRef{Name: "a", Host: "h", Prefix: "/a/"}
	for name, c := range map[string]struct {
		queues []Queue
		ref    QueueRef
		want   string
	}{
		"unchanged":             {[]Queue{{Name: "a", Host: "h", Prefix: "/a/"}}, ref, "h/a/"},
		"renamed":               {[]Queue{{Name: "b", Host: "h", Prefix: "/a/"}}, ref, "h/a/"},
		"moved":                 {[]Queue{{Name: "a", Host: "h2", Prefix: "/c/"}}, ref, "h2/c/"},
		"names exchanged":       {[]Queue{{Name: "b", Host: "h", Prefix: "/a/"}, {Name: "a", Host: "h", Prefix: "/b/"}}, ref, "h/a/"},
		"removed":               {[]Queue{{Name: "b", Host: "h", Prefix: "/b/"}}, ref, ""},
		"same prefix elsewhere": {[]Queue{{Name: "b", Host: "h2", Prefix: "/a/"}}, ref, ""},
		"only the name known":   {[]Queue{{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "b"}}, QueueRef{Name: "a"}, "h/a/"},
		"only an unknown name":  {[]Queue{{Name: "b"}}, QueueRef{Name: "a"}, ""},
	} {
		got := ""
		if q, ok := New(1, c.queues, nil, nil, RequestLimits{}).Resolve(c.ref); ok {
			got = q.Host + q.Prefix
		}
		if got != c.want {
			t.Errorf("%s: resolved to %q, want %q", name, got, c.want)
		}
	}
}
