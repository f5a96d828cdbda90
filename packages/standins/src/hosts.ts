import { listen, type Standin } from './listen.js';

/** Entry of the host list. */
export interface HostRow {
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly port: number;
  readonly state: 'live' | 'leaving';
}

/** Running stand-in for the platform's host list. */
export interface HostListStandin extends Standin {
  /** Replaces the rows that are served, after `lagMilliseconds` (by default at once). */
  setHosts(rows: readonly HostRow[], lagMilliseconds?: number): void;
  /** While set, responds 503 to every request. */
  setUnavailable(away: boolean): void;
}

/** Starts a host list stand-in on loopback. */
export async function startHostList(rows: readonly HostRow[], port = 0): Promise<HostListStandin> {
  let currentRows = rows;
  let isUnavailable = false;
  const standin = await listen((request, response) => {
    if (isUnavailable || request.url !== '/v1/hosts') {
      response.writeHead(isUnavailable ? 503 : 404).end();
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ hosts: currentRows }));
  }, port);
  return {
    ...standin,
    setHosts: (next, lagMilliseconds = 0) => {
      if (lagMilliseconds === 0) currentRows = next;
      else
        setTimeout(() => {
          currentRows = next;
        }, lagMilliseconds).unref();
    },
    setUnavailable: (next) => {
      isUnavailable = next;
    },
  };
}
