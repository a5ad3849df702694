#include "delegations.h"

static struct iv_delegation *
find (const GArray *delegations, guint occurrence, guint step, guint index)
{
  for (guint i = 0; delegations && i < delegations->len; i++)
    {
      struct iv_delegation *delegation = &g_array_index (delegations, struct iv_delegation, i);
      if (delegation->index == index && delegation->step == step
          && delegation->occurrence == occurrence)
        return delegation;
    }
  return NULL;
}

const struct iv_delegation *
iv_delegations_find (const GArray *delegations, const struct iv_task_name *name)
{
  return find (delegations, name->occurrence, name->step, name->index);
}

gint
iv_delegations_cell (const GArray *delegations, const struct iv_task_name *name)
{
  const struct iv_delegation *delegation = iv_delegations_find (delegations, name);
  return delegation ? delegation->cell : -1;
}

gboolean
iv_delegations_any (const GArray *delegations, gint cell)
{
  for (guint i = 0; delegations && i < delegations->len; i++)
    if (g_array_index (delegations, struct iv_delegation, i).cell == cell)
      return TRUE;
  return FALSE;
}

/* Parse @a count numbers with @a separator between them. */
static gboolean
parse_numbers (const char *text, char separator, gint64 *numbers, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      char *rest;
      numbers[i] = g_ascii_strtoll (text, &rest, 10);
      if (rest == text || numbers[i] < -1 || numbers[i] > G_MAXINT
          || *rest != (i + 1 < count ? separator : '\0'))
        return FALSE;
      text = rest + 1;
    }
  return TRUE;
}

enum iv_status
iv_delegations_apply (GArray **delegations, const char *task, const char *value)
{
  gint64 place[3];
  gint64 state[3];
  struct iv_delegation *known;
  struct iv_delegation delegation;
  if (!parse_numbers (task, '.', place, 3) || MIN (MIN (place[0], place[1]), place[2]) < 0
      || !parse_numbers (value, ' ', state, 3) || state[0] < 1 || state[1] >= IV_CELLS_MAX
      || state[2] < 0)
    return iv_fail (IV_ERR_INVALID,
                    "malformed delegation record: expected a generation, a cell and a count");
  delegation = (struct iv_delegation){ (guint)place[0], (guint)place[1], (guint)place[2],
                                       (guint)state[0], (gint)state[1],  (guint)state[2] };
  known = find (*delegations, delegation.occurrence, delegation.step, delegation.index);
  if (known && delegation.generation > known->generation)
    *known = delegation;
  if (known)
    return IV_OK;
  if (*delegations == NULL)
    *delegations = g_array_new (FALSE, FALSE, sizeof (struct iv_delegation));
  g_array_append_val (*delegations, delegation);
  return IV_OK;
}

char *
iv_delegation_format_key (const char *id, const struct iv_delegation *delegation)
{
  return g_strdup_printf ("%s" IV_KEY_DELEGATION "%u.%u.%u", id, delegation->occurrence,
                          delegation->step, delegation->index);
}

char *
iv_delegation_format_value (const struct iv_delegation *delegation)
{
  return g_strdup_printf ("%u %d %u", delegation->generation, delegation->cell,
                          delegation->crashes);
}
