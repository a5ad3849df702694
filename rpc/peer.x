/*
 * Peer protocol: ONC RPC between the entry hosts of one installation.
 */

/* Limits of strings in bytes, of arrays in elements and of opaque data in bytes. */
const IVP_NAME_MAX = 64;
const IVP_PATH_MAX = 128;
const IVP_CELLS_MAX = 64;
const IVP_ENTRIES_MAX = 256;
const IVP_BATCH_BYTES_MAX = 524288;
const IVP_BODY_BYTES_MAX = 4194304;

typedef string ivp_name<IVP_NAME_MAX>;

/* A host's view of the cell that schedules one failure domain. */
struct ivp_cell
{
  ivp_name domain;
  unsigned term;
  ivp_name owner;
  bool owned;
  unsigned free_milli;
  unsigned queued;
};

/* State that a host sends to its peers. Ages are in milliseconds; add the time that the message may
   have taken. */
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

/* Batches of a stream that a peer holds in memory. `gap`: the peer no longer holds `from`, and
   `snapshot` holds the state before `next` instead. `age_ms`: upper bound of the age of the
   information that the stream ends at `next`. */
struct ivp_read_reply
{
  bool gap;
  unsigned hyper next;
  unsigned age_ms;
  opaque snapshot<IVP_BODY_BYTES_MAX>;
  ivp_entry entries<IVP_ENTRIES_MAX>;
};

/* A query of the operators' interface; the owner of the failure domain replies in JSON. */
struct ivp_query { ivp_name domain; string path<IVP_PATH_MAX>; };
struct ivp_query_reply { int status; opaque body<IVP_BODY_BYTES_MAX>; };

/* A loan of slots of one instance: the borrower may use `slots` more slots for `valid_ms`, counted
   from before it sent the request. */
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
