#ifndef SEAM_BOARD_DEMAND_H
#define SEAM_BOARD_DEMAND_H

#include "process/board_impl.h"

/**
 * struct seam_pool_demand - what a pool's jobs ask for
 * @pool: name
 * @due: reserved by runs and asked for by tasks that could run now, of jobs
 * that can meet their objective
 * @late: the same of jobs that can't
 * @spread: workers that lasting tasks need because few may share one
 */
struct seam_pool_demand {
	char pool[SEAM_NAME];
	struct seam_amount due;
	struct seam_amount late;
	int spread;
};

/** board_demands() - array with one entry a pool; g_array_free() it */
GArray *board_demands(struct seam_board *b);

#endif
