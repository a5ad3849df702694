/*
 * The inner protocol: ONC RPC between the entry hosts of one user.
 */

const IVP_NAME_MAX = 64;
const IVP_PATH_MAX = 128;
const IVP_CELLS_MAX = 64;
const IVP_ENTRIES_MAX = 256;
const IVP_BATCH_BYTES_MAX = 524288;
const IVP_BODY_BYTES_MAX = 4194304;

typedef string ivp_name<IVP_NAME_MAX>;

/* What a host knows of a failure domain's scheduling. */
struct ivp_cell
{
  ivp_name domain;
  unsigned term;
  ivp_name owner;
  bool owned;
  unsigned free_milli;
  unsigned queued;
};

/* Ages are in milliseconds and grow by the time a message may have taken. */
struct ivp_hello
{
  ivp_name host;
  ivp_name domain;
  unsigned hyper incarnation;
  bool leaving;
  unsigned hyper config_next;
  unsigned config_age_ms;
  unsigned release;
  ivp_cell cells<IVP_CELLS_MAX>;
};

struct ivp_read { ivp_name stream; unsigned hyper from; };

struct ivp_entry { unsigned hyper offset; opaque bytes<IVP_BATCH_BYTES_MAX>; };

/* Batches of a stream from a peer's memory. `gap` says that `from` is no longer held, and then
   `snapshot` holds the state before `next`. `age_ms` bounds how old "nothing more" is. */
struct ivp_read_reply
{
  bool gap;
  unsigned hyper next;
  unsigned age_ms;
  opaque snapshot<IVP_BODY_BYTES_MAX>;
  ivp_entry entries<IVP_ENTRIES_MAX>;
};

/* A query of the operators' interface, answered by the owner of a failure domain, as JSON. */
struct ivp_query { ivp_name domain; string path<IVP_PATH_MAX>; };
struct ivp_query_reply { int status; opaque body<IVP_BODY_BYTES_MAX>; };

/* A loan of slots of one instance: until the lender's deadline the borrower may use `slots` more. */
struct ivp_borrow { ivp_name host; ivp_name instance; unsigned slots; };
struct ivp_borrow_reply { unsigned slots; unsigned valid_ms; };

program IBISVANE_PEER
{
  version IBISVANE_PEER_V1
  {
    void PEER_NULL (void) = 0;
    ivp_hello PEER_HELLO (ivp_hello) = 1;
    ivp_read_reply PEER_READ (ivp_read) = 2;
    ivp_query_reply PEER_QUERY (ivp_query) = 3;
    ivp_borrow_reply PEER_BORROW (ivp_borrow) = 4;
  } = 1;
} = 0x20004956;
