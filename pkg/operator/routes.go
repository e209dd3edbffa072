package operator

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// routes implements the Routes service.
type routes struct{ baseService }

// routeFrom converts a message to a route and sets the default priority.
func routeFrom(m *operatorpb.Route) config.Route {
	r := config.Route{
		Name:       m.Name,
		PathPrefix: m.PathPrefix,
		Methods:    m.Methods,
		Pool:       m.Pool,
		Mode:       config.Mode(m.Mode),
		Priority:   config.Priority(m.Priority),
		Open:       m.Open,
		Timeout:    m.Timeout.AsDuration(),
	}
	if r.Priority == "" {
		r.Priority = config.PriorityNormal
	}
	return r
}

// write creates or updates a route, depending on edit.
func (s *routes) write(ctx context.Context, r *operatorpb.RouteRequest, edit func(string, config.Route) *config.Edit[config.Route]) (*operatorpb.RouteResponse, error) {
	if err := required("route", r.Route != nil); err != nil {
		return nil, err
	}
	route := routeFrom(r.Route)
	version, err := s.put(ctx, r.ExpectedVersion, config.Action{Route: edit(route.Name, route)})
	if err != nil {
		return nil, err
	}
	return &operatorpb.RouteResponse{Route: routeMessage(&route), Version: version}, nil
}

// Create implements operatorpb.Routes.
func (s *routes) Create(ctx context.Context, r *operatorpb.RouteRequest) (*operatorpb.RouteResponse, error) {
	return s.write(ctx, r, config.Create[config.Route])
}

// Update implements operatorpb.Routes.
func (s *routes) Update(ctx context.Context, r *operatorpb.RouteRequest) (*operatorpb.RouteResponse, error) {
	return s.write(ctx, r, config.Update[config.Route])
}

// Delete implements operatorpb.Routes.
func (s *routes) Delete(ctx context.Context, r *operatorpb.DeleteRequest) (*operatorpb.DeleteResponse, error) {
	return s.remove(ctx, r.ExpectedVersion, config.Action{Route: config.Delete[config.Route](r.Name)})
}

// Get implements operatorpb.Routes.
func (s *routes) Get(_ context.Context, r *operatorpb.GetRequest) (*operatorpb.RouteResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	route, err := find(c.Routes, config.KindRoute, r.Name)
	if err != nil {
		return nil, err
	}
	return &operatorpb.RouteResponse{Route: routeMessage(route), Version: c.Version}, nil
}

// List implements operatorpb.Routes.
func (s *routes) List(context.Context, *operatorpb.ListRequest) (*operatorpb.ListRoutesResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListRoutesResponse{Routes: sorted(c.Routes, routeMessage), Version: c.Version}, nil
}
