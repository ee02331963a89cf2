#ifndef SEAM_SHARE_IMPL_H
#define SEAM_SHARE_IMPL_H

/* Shared by the files of the share library only. */

#include "process/share.h"

/* A team or a workspace. */
struct seam_sharer {
	double weight;
	struct seam_amount demand;
	struct seam_amount used;
	struct seam_amount entitled;
	double used_share; /* dominant */
	double entitled_share;
	struct seam_handle team; /* of a workspace */
	struct seam_handle first; /* of a team: its newest workspace */
	struct seam_handle next; /* of a workspace: the next older one */
};

struct seam_share {
	struct seam_amount all;
	struct seam_table *team;
	struct seam_table *workspace;
};

/*
 * Water filling: divides @room among @n sharers. Dominant shares are measured
 * against @all.
 */
void seam_share_fill(struct seam_sharer **sharer, size_t n,
		     const struct seam_amount *room,
		     const struct seam_amount *all);

/* Largest part of @all that @a takes of any resource. */
double seam_share_dominant(const struct seam_amount *a,
			   const struct seam_amount *all);

#endif
