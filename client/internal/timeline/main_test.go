package timeline

import (
	"testing"

	"github.com/cicadapulley/cicadapulley/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
