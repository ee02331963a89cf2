#ifndef SEAM_SHARE_IMPL_H
#define SEAM_SHARE_IMPL_H

/* Internal declarations of process/share*.c. */

#include "process/share.h"

/* A team or a workspace, which receives a share. */
struct seam_share_entity {
	double weight;
	struct seam_resources demand;
	struct seam_resources used;
	struct seam_resources entitled;
	double used_share; /* dominant shares, 0 to 1 */
	double entitled_share;
	struct seam_handle team; /* workspaces: their team */
	struct seam_handle first; /* teams: newest workspace */
	struct seam_handle next; /* workspaces: next older one of the team */
};

struct seam_share {
	struct seam_resources capacity;
	struct seam_table *team;
	struct seam_table *workspace;
};

/*
 * Divides @available among @n teams or workspaces by water filling and sets
 * their entitlements. Dominant shares are fractions of @capacity.
 */
void seam_share_fill(struct seam_share_entity **entity, size_t n,
		     const struct seam_resources *available,
		     const struct seam_resources *capacity);

/* Largest fraction of @capacity that @a takes of any resource. */
double seam_share_dominant(const struct seam_resources *a,
			   const struct seam_resources *capacity);

#endif
