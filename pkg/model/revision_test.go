package model_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// A revision of a later epoch comes after all of earlier ones, whatever its number.
func TestRevisionOrder(t *testing.T) {
	is := is.New(t)
	ordered := []model.Revision{{}, {Number: 7}, {Epoch: 1, Number: 3}, {Epoch: 1, Number: 90}, {Epoch: 2, Number: 2}, {Epoch: 2, Number: 3}, {Epoch: 10}}
	for i, x := range ordered {
		is.Equal(x.IsZero(), i == 0)
		for j, y := range ordered {
			is.Equal(x.Before(y), i < j)
		}
	}
	is.Equal(model.Revision{Epoch: 2, Number: 30}.String(), "2.30")
}
