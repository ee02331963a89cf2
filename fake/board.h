#ifndef SEAM_FAKE_BOARD_H
#define SEAM_FAKE_BOARD_H

#include "process/board_impl.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SEAM_FAKE_POOLS 5
#define SEAM_FAKE_WORKER_CPU 64000 /* thousandths of a core */

/**
 * struct seam_fake_board - an owner's board without threads and platform
 * @board: board; its lock is not needed
 * @ops: operators' orders, none
 * @catalog: no configuration
 * @lead: a term
 * @workers: workers that were made
 * @jobs: jobs that were made
 */
struct seam_fake_board {
	struct seam_board *board;
	struct seam_op_state ops;
	struct seam_catalog_cell catalog;
	struct seam_lead lead;
	int workers;
	uint64_t jobs;
};

/** seam_fake_board_init() - with @workers that have answered, in all pools */
void seam_fake_board_init(struct seam_fake_board *f, int workers);

/** seam_fake_board_clear() - free what it owns */
void seam_fake_board_clear(struct seam_fake_board *f);

/** seam_fake_board_worker() - add a worker that has answered */
void seam_fake_board_worker(struct seam_fake_board *f);

/**
 * seam_fake_board_job() - add a job of one step
 * @f: board
 * @tasks: its tasks
 * @cpu: what each needs, thousandths of a core
 * @ms: estimate of its run time
 * @rack: number of the rack with its data, or -1
 */
void seam_fake_board_job(struct seam_fake_board *f, int tasks, int64_t cpu,
			 int64_t ms, int rack);

/** seam_fake_board_answer() - all orders are answered; returns the runs */
int seam_fake_board_answer(struct seam_fake_board *f);

/** seam_fake_board_end() - a run on @w ends done; false without one */
bool seam_fake_board_end(struct seam_fake_board *f, struct seam_worker *w);

#ifdef __cplusplus
}
#endif
#endif
