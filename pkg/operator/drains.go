package operator

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// drains implements the Drains service.
type drains struct{ baseService }

// drainFrom converts a message to a drain and sets the default name.
func drainFrom(m *operatorpb.Drain) config.Drain {
	d := config.Drain{Name: m.Name, Kind: config.DrainKind(m.Kind), Subject: m.Subject}
	if d.Name == "" {
		d.Name = m.Kind + "-" + m.Subject
	}
	return d
}

// Create implements operatorpb.Drains.
func (s *drains) Create(ctx context.Context, r *operatorpb.DrainRequest) (*operatorpb.DrainResponse, error) {
	if err := required("drain", r.Drain != nil); err != nil {
		return nil, err
	}
	drain := drainFrom(r.Drain)
	version, err := s.put(ctx, r.ExpectedVersion, config.Action{Drain: config.Create(drain.Name, drain)})
	if err != nil {
		return nil, err
	}
	return &operatorpb.DrainResponse{Drain: drainMessage(&drain), Version: version}, nil
}

// Delete implements operatorpb.Drains.
func (s *drains) Delete(ctx context.Context, r *operatorpb.DeleteRequest) (*operatorpb.DeleteResponse, error) {
	return s.remove(ctx, r.ExpectedVersion, config.Action{Drain: config.Delete[config.Drain](r.Name)})
}

// Get implements operatorpb.Drains.
func (s *drains) Get(_ context.Context, r *operatorpb.GetRequest) (*operatorpb.DrainResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	drain, err := find(c.Drains, config.KindDrain, r.Name)
	if err != nil {
		return nil, err
	}
	return &operatorpb.DrainResponse{Drain: drainMessage(drain), Version: c.Version}, nil
}

// List implements operatorpb.Drains.
func (s *drains) List(context.Context, *operatorpb.ListRequest) (*operatorpb.ListDrainsResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListDrainsResponse{Drains: sorted(c.Drains, drainMessage), Version: c.Version}, nil
}
