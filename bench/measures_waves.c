/* Duration of a maintenance wave over 50 targets and 50 workers. */
#include "bench/measures.h"
#include "bench/pool_fleet.h"

#define VMS 100
#define WORK (120 * SEC) /* time for which a draining VM still has work */

static char *pools(int targets, int workers)
{
	GString *s = g_string_new("[");
	int i;

	for (i = 0; i < MEASURE_SERVICES; i++)
		g_string_append_printf(s,
				       "{\"name\":\"s%d\",\"kind\":\"service\","
				       "\"budget\":%d},",
				       i, targets);
	g_string_append_printf(
		s, "{\"name\":\"batch\",\"kind\":\"tasks\",\"budget\":%d}]",
		workers);
	return g_string_free(s, FALSE);
}

static struct bench *fleet(int targets, int workers)
{
	char *conf = pools(targets, workers);
	struct bench *b = bench_new(conf, NULL);
	char name[16];
	int n = 0;
	int i;
	int j;

	b->work = WORK;
	for (i = 0; i < MEASURE_SERVICES; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		for (j = 0; j < seam_measure_instances[i]; j++, n++)
			add_vm(b, n, j % 3, 100 + n, name, 1);
	}
	for (i = 0; i < 50; i++, n++)
		add_vm(b, n, i / 4 % 3, i / 4, "batch", 1);
	g_free(conf);
	return b;
}

/* Baseline: one VM of the fleet at a time, pool after pool, budget 1. */
static double one_at_a_time(void)
{
	struct bench *b = fleet(1, 1);
	seam_time start;
	double took;
	size_t done = 0;
	char name[16];
	int i;

	step(b, SEC);
	step(b, SEC);
	start = b->clock.time;
	for (i = 0; i <= MEASURE_SERVICES; i++) {
		bool service = i < MEASURE_SERVICES;

		snprintf(name, sizeof(name), "s%d", i);
		if (!service)
			strcpy(name, "batch");
		done += service ? (size_t)seam_measure_instances[i] : 50;
		order_wave(b, name);
		while (!all_done(b, start, done))
			step(b, SEC);
	}
	took = (double)(b->clock.time - start) / SEAM_SEC;
	bench_free(b);
	return took;
}

void seam_measure_waves(const struct deployment *d)
{
	struct bench *b = fleet(2, 4);
	double ours = roll_out(b, VMS);

	bench_free(b);
	seam_measure_print(d, "roll-out of a wave", "s", WEIGHT_BUFFERS,
			   one_at_a_time(), ours);
}
