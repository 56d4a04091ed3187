package demo

import (
	"context"
	"encoding/json"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/spec"
	"primrosegw/io/admin"
)

// promote puts the environment's document in force.
func (world *World) promote(ctx context.Context) error {
	data, err := json.MarshalIndent(world.Document, "", "  ")
	if err != nil {
		return fault.Wrap("demo.promote", Unstarted, err)
	}
	_, err = world.Put(ctx, data)
	return err
}

// Put proves a document in trial and promotes it, through the first host. It
// returns the generation in force.
func (world *World) Put(ctx context.Context, data []byte) (uint64, error) {
	client := admin.NewClient(world.Nodes[0].AdminURL(), OperatorKey)
	if authority := world.Options.Authority; authority != nil && !client.Trust(authority) {
		return 0, fault.Field("demo.put", Unstarted, "authority", "it holds no certificate")
	}
	if _, err := client.Trial(ctx, data, "demo"); err != nil {
		return 0, err
	}
	changed, err := client.Promote(ctx, heads.Digest(data), "demo")
	return changed.Heads.Generation, err
}

// Encode returns a document as it is stored.
func Encode(document spec.Document) ([]byte, error) { return json.MarshalIndent(document, "", "  ") }
