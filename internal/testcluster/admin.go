package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"hazelwing/internal/cluster/gossip"
)

// maxAdminBytes limits the bytes that are read of an admin endpoint's response.
const maxAdminBytes = 16 << 20

// ReadAdmin requests a path from a member's admin endpoint and decodes the JSON response into v.
func (c *Cluster) ReadAdmin(n int, path string, v any) error {
	return c.readAdmin(context.Background(), n, path, v)
}

// readAdmin is ReadAdmin for callers with a context. Cancelling ctx does not interrupt the request, which ends after
// adminTimeout at the latest.
func (c *Cluster) readAdmin(ctx context.Context, n int, path string, v any) error {
	resp, err := c.get(ctx, "http://"+c.members[n].admin+"/"+path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("admin endpoint of %s: GET /%s: status %s, want 200 OK", c.members[n].name, path, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAdminBytes)).Decode(v)
}

func (c *Cluster) get(ctx context.Context, url string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	return c.admin.Do(req)
}

// views reads the view of each member of a group that runs and is not frozen, concurrently. The view of a member that
// does not respond is empty.
func (c *Cluster) views(ctx context.Context, group []int) map[int]gossip.Status {
	views := map[int]gossip.Status{}
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, n := range group {
		p := c.members[n]
		if !p.running() || p.frozen {
			continue
		}
		requests.Go(func() {
			var view gossip.Status
			if c.readAdmin(ctx, n, "fleet", &view) != nil {
				view = gossip.Status{}
			}
			mu.Lock()
			defer mu.Unlock()
			views[n] = view
		})
	}
	requests.Wait()
	return views
}

// responds reports whether a process is ready. An origin is ready when it answers with status 204 or 205. A member is
// ready when its admin endpoint answers and, in a cluster with origins, its address for requests answers too.
func (c *Cluster) responds(ctx context.Context, n int) bool {
	if n > originBase {
		return c.originResponds(ctx, n)
	}
	if c.readAdmin(ctx, n, "fleet", new(gossip.Status)) != nil {
		return false
	}
	if c.config.Origins == 0 {
		return true
	}
	resp, err := c.get(ctx, "http://"+c.process(n).listen+"/", nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

func (c *Cluster) originResponds(ctx context.Context, n int) bool {
	url := "http://" + c.process(n).listen + "/config/alive"
	resp, err := c.get(ctx, url, http.Header{"X-Config-Fleet": {clusterName}})
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusResetContent
}
