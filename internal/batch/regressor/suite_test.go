package regressor_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRegressor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "regressor")
}
