package operator

import (
	"context"

	operatorpb "crocusramp.dev/crocusramp/api/operator/v1"
	"crocusramp.dev/crocusramp/pkg/config"
)

// shifts implements the Shifts service.
type shifts struct{ baseService }

func shiftFrom(m *operatorpb.Shift) config.Shift {
	return config.Shift{Name: m.Name, Pool: m.Pool, From: m.From, To: m.To, CapPercent: m.CapPercent}
}

// write creates or updates a shift, depending on edit.
func (s *shifts) write(ctx context.Context, r *operatorpb.ShiftRequest, edit func(string, config.Shift) *config.Edit[config.Shift]) (*operatorpb.ShiftResponse, error) {
	if err := required("shift", r.Shift != nil); err != nil {
		return nil, err
	}
	shift := shiftFrom(r.Shift)
	version, err := s.put(ctx, r.ExpectedVersion, config.Action{Shift: edit(shift.Name, shift)})
	if err != nil {
		return nil, err
	}
	return &operatorpb.ShiftResponse{Shift: shiftMessage(&shift), Version: version}, nil
}

// Create implements operatorpb.Shifts.
func (s *shifts) Create(ctx context.Context, r *operatorpb.ShiftRequest) (*operatorpb.ShiftResponse, error) {
	return s.write(ctx, r, config.Create[config.Shift])
}

// Update implements operatorpb.Shifts.
func (s *shifts) Update(ctx context.Context, r *operatorpb.ShiftRequest) (*operatorpb.ShiftResponse, error) {
	return s.write(ctx, r, config.Update[config.Shift])
}

// Delete implements operatorpb.Shifts.
func (s *shifts) Delete(ctx context.Context, r *operatorpb.DeleteRequest) (*operatorpb.DeleteResponse, error) {
	return s.remove(ctx, r.ExpectedVersion, config.Action{Shift: config.Delete[config.Shift](r.Name)})
}

// Get implements operatorpb.Shifts.
func (s *shifts) Get(_ context.Context, r *operatorpb.GetRequest) (*operatorpb.ShiftResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	shift, err := find(c.Shifts, config.KindShift, r.Name)
	if err != nil {
		return nil, err
	}
	return &operatorpb.ShiftResponse{Shift: shiftMessage(shift), Version: c.Version}, nil
}

// List implements operatorpb.Shifts.
func (s *shifts) List(context.Context, *operatorpb.ListRequest) (*operatorpb.ListShiftsResponse, error) {
	c, err := s.snapshot()
	if err != nil {
		return nil, err
	}
	return &operatorpb.ListShiftsResponse{Shifts: sorted(c.Shifts, shiftMessage), Version: c.Version}, nil
}
