package operator

import (
	"context"
	"errors"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
)

// operations implements the Operations service.
type operations struct{ baseService }

// Status implements operatorpb.Operations.
func (s *operations) Status(ctx context.Context, _ *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	if s.cfg.Status == nil {
		return nil, unavailable(errors.New("this VM reports no status"))
	}
	resp, err := s.cfg.Status.Status(ctx)
	if err != nil {
		return nil, toTwirp(err)
	}
	return resp, nil
}

// ListVMs implements operatorpb.Operations.
func (s *operations) ListVMs(ctx context.Context, _ *operatorpb.ListRequest) (*operatorpb.ListVMsResponse, error) {
	resp, err := s.Status(ctx, nil)
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListVMsResponse{Vms: resp.Vms}, nil
}
