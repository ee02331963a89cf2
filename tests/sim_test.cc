// The parts of several nodes together: what goes wrong between them.
#include "sim_run.h"

#include <csignal>
#include <unistd.h>

static char command[128];

static void on_abort(int)
{
	ssize_t n = write(2, command, strlen(command));

	(void)n;
}

static long env(const char *name, long otherwise)
{
	const char *v = getenv(name);

	return v ? atol(v) : otherwise;
}

static int steps()
{
	return (int)env("SEAM_STEPS", 1500);
}

static void one(uint64_t seed)
{
	snprintf(command, sizeof(command),
		 "failed: SEAM_SEED=%lu SEAM_STEPS=%d "
		 "build/plain/tests/sim_test\n",
		 (unsigned long)seed, steps());
	signal(SIGABRT, on_abort);
	sim_run r(seed);

	r.chaos(steps());
	r.settle();
	if (testing::Test::HasFailure())
		on_abort(0);
	printf("seed %lu: %ld requests, %ld tasks, %ld starts, %ld reboots, "
	       "%ld changes, %ld pairs; settled %.1f %.1f %.1f %.1f s\n",
	       (unsigned long)seed, r.w.count["requests"], r.w.count["tasks"],
	       r.w.count["task starts"], r.w.count["reboots"],
	       r.w.count["changes"], r.w.count["pairs of events"],
	       (double)r.settled[0] / SEAM_SEC, (double)r.settled[1] / SEAM_SEC,
	       (double)r.settled[2] / SEAM_SEC,
	       (double)r.settled[3] / SEAM_SEC);
	if (getenv("SEAM_COUNTS"))
		printf("%s\n", r.digest().c_str());
	fflush(stdout);
}

// Guards against violations of the promises that need several parts.
TEST(Sim, Seeds)
{
	long first = env("SEAM_SEED", 1);
	long n = getenv("SEAM_SEED") ? env("SEAM_SEEDS", 1) :
				       env("SEAM_SEEDS", 4);

	for (long k = 0; k < n && !HasFailure(); k++)
		one((uint64_t)(first + k));
}

int main(int argc, char **argv)
{
	randombytes_set_implementation(&sim_random_impl);
	seam_log_level((seam_level)env("SEAM_LOG", SEAM_ERROR));
	testing::InitGoogleTest(&argc, argv);
	return RUN_ALL_TESTS();
}
