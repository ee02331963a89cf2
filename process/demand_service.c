#include "connection/target.h"
#include "process/demand.h"
#include "version/conf.h"

#include <string.h>

static int64_t busy_requests(struct seam_targets *ts, const char *service)
{
	struct seam_table *t = seam_targets_lock(ts);
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_target *g;
	int64_t n = 0;

	while ((g = seam_table_next(t, &h)))
		if (!strcmp(g->info.service, service))
			n += g->outstanding + g->peer_load;
	seam_targets_unlock(ts);
	return n;
}

void seam_demand_service(struct seam_demand *d, const struct seam_service *s,
			 struct seam_targets *ts, int64_t waiting,
			 seam_time valid_until)
{
	struct seam_demand_report r = {
		.busy = busy_requests(ts, s->name),
		.waiting = waiting,
		.per_vm = s->slots,
		.valid_until = valid_until,
	};

	seam_demand_set(d, s->pool, s->name, &r);
}
