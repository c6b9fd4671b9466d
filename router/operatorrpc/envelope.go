package operatorrpc

import (
	"context"
	"errors"

	"bramleyquay.example/router/operator"
	"bramleyquay.example/router/peer"
)

// envelope carries a reply or the typed error that an operator can act on.
type envelope[R any] struct {
	Reply R               `json:"reply"`
	Error *operator.Error `json:"error,omitempty"`
}

func bind[P, R any](f func(context.Context, P) (R, error)) peer.Method {
	return peer.Bind(func(ctx context.Context, params P) (envelope[R], error) {
		reply, err := f(ctx, params)
		var typed *operator.Error
		if errors.As(err, &typed) {
			return envelope[R]{Error: typed}, nil
		}
		return envelope[R]{Reply: reply}, err
	})
}

func withoutParams[R any](f func(context.Context) (R, error)) func(context.Context, none) (R, error) {
	return func(ctx context.Context, _ none) (R, error) { return f(ctx) }
}
