package sweep

// recordedPrograms maps a program's name to its name in records. Records use the programs' former names, so that runs from before the
// programs were renamed remain comparable. Message kinds are recorded by their metric labels, which have not changed.
var recordedPrograms = map[string]string{"proxy": "carrier", "registry": "sorter", "configstore": "postmaster"}
