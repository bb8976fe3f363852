package org.rattanport.connectors.caller;

import org.rattanport.kernel.environment.ActiveEnvironment;
import org.rattanport.kernel.environment.ClientAccount;

/** An authenticated caller and the environment that its request runs under. */
record Caller(ClientAccount account, ActiveEnvironment environment) {}
