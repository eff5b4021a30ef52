#include "model/evidence.h"

void evidence_free(struct evidence *e)
{
	if (!e)
		return;
	free(e->versions);
	free(e->customers);
	free(e->notices);
	free(e);
}
