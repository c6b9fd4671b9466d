package operatorrpc

import (
	"context"
	"errors"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// envelope is the result of an RPC: a reply, or an *operator.Error. An error that
// is returned as an RPC error loses its type, except *peer.NotLeaderError.
type envelope[R any] struct {
	Reply R               `json:"reply"`
	Error *operator.Error `json:"error,omitempty"`
}

// bind returns f as an RPC method that puts an *operator.Error into the envelope.
// Other errors are returned as RPC errors.
func bind[P, R any](f func(context.Context, P) (R, error)) peer.Method {
	return peer.Bind(func(ctx context.Context, params P) (envelope[R], error) {
		reply, err := f(ctx, params)
		var opErr *operator.Error
		if errors.As(err, &opErr) {
			return envelope[R]{Error: opErr}, nil
		}
		return envelope[R]{Reply: reply}, err
	})
}

func withoutParams[R any](f func(context.Context) (R, error)) func(context.Context, noParams) (R, error) {
	return func(ctx context.Context, _ noParams) (R, error) { return f(ctx) }
}
