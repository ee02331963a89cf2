// What nodes read of the pool rows, and when the fleet is built from them.
#include "pool_world.h"

#include "base/count.h"

static const char *const two =
	"[{\"name\":\"web\",\"kind\":\"service\",\"min\":1,\"budget\":2},"
	"{\"name\":\"spare\",\"kind\":\"spare\",\"budget\":4}]";

static long metric(const std::string &name)
{
	char *text = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	seam_count_write(f);
	fclose(f);
	std::string all(text, len);
	free(text);
	size_t at = all.find("\n" + name + " ");
	return at == std::string::npos ?
		       0 :
		       atol(all.c_str() + at + name.size() + 2);
}

// Guards against building the fleet in each pass, which costs 8 ms at 26,000
// VMs, and against leaving out a change of the list, of a row or of the
// configuration.
TEST(PoolSync, FleetIsBuiltOnChangesOnly)
{
	const char *built = "seam_pool_publications_total";
	world w(two);
	size_t n = 0;
	long before;

	w.vm("v1", "a", "r1", "web");
	w.vm("v2", "b", "r2", "spare");
	w.run(5 * SEC);
	before = metric(built);
	w.run(100 * SEC);
	EXPECT_EQ(metric(built), before);
	w.vm("v1", "a", "r1", "web", SEAM_VM_LEAVING);
	w.run(SEC);
	EXPECT_GT(metric(built), before);
	seam_fleet_vm *f = seam_fleet_copy(w.fleet, "web", &n, nullptr);
	ASSERT_EQ(n, 1u);
	EXPECT_EQ(f[0].member, SEAM_MEMBER_DRAINING);
	EXPECT_EQ(f[0].pool_version, w.row_version("web"));
	free(f);
	w.run(100 * SEC);
	before = metric(built);
	w.configure();
	w.pass();
	EXPECT_EQ(metric(built), before + 1);
}
